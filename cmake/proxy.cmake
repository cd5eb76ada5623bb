# A proxy that obeys the tables: its decisions (no I/O), its sockets, and its side to the planners.
add_library(marldale_proxy_core STATIC src/planner/proxy/attempt.cpp src/planner/proxy/body.cpp src/planner/proxy/forward.cpp src/planner/proxy/head.cpp
  src/planner/proxy/order_book.cpp src/planner/proxy/order_text.cpp src/planner/proxy/owner.cpp src/planner/proxy/picker.cpp src/planner/proxy/steering.cpp
  src/planner/proxy/table_snapshot.cpp src/planner/proxy/tally.cpp)
target_include_directories(marldale_proxy_core PUBLIC src/planner)
target_link_libraries(marldale_proxy_core PUBLIC marldale_attempts marldale_protocol Threads::Threads)
find_package(OpenSSL REQUIRED)
pkg_check_modules(LIBEVENT_TLS REQUIRED IMPORTED_TARGET libevent_openssl)
add_library(marldale_tls STATIC src/base/tls/context.cpp)
target_include_directories(marldale_tls PUBLIC src/base)
target_link_libraries(marldale_tls PUBLIC OpenSSL::SSL)
add_library(marldale_proxy_sockets STATIC src/planner/proxy/box_pool.cpp src/planner/proxy/gateway.cpp src/planner/proxy/settings.cpp src/planner/proxy/stream.cpp)
target_link_libraries(marldale_proxy_sockets PUBLIC marldale_proxy_core marldale_transport marldale_settings marldale_tls
  PkgConfig::LIBEVENT_TLS)
# The planners over the platform's protocol.
add_library(marldale_proxy_platform STATIC src/planner/proxy/planners.cpp src/planner/proxy/platform_side.cpp)
target_link_libraries(marldale_proxy_platform PUBLIC marldale_proxy_sockets marldale_routing)
if(MARLDALE_WITH_GRPC)
  add_library(marldale_proxy_planners STATIC src/planner/proxy/planner_side.cpp)
  target_link_libraries(marldale_proxy_planners PUBLIC marldale_proxy_platform marldale_client)
  add_executable(marldale_proxy src/planner/proxy_program/main.cpp)
  target_compile_definitions(marldale_proxy PRIVATE MARLDALE_VERSION="${PROJECT_VERSION}")
  target_link_libraries(marldale_proxy PRIVATE marldale_proxy_planners CLI11::CLI11)
endif()
