# A proxy that obeys the tables: its decisions (no I/O), its sockets, and its side to the planners.
add_library(marldale_proxy_core STATIC src/proxy/attempt.cpp src/proxy/body.cpp src/proxy/forward.cpp src/proxy/head.cpp
  src/proxy/order_book.cpp src/proxy/order_text.cpp src/proxy/owner.cpp src/proxy/picker.cpp src/proxy/steering.cpp
  src/proxy/table_snapshot.cpp src/proxy/tally.cpp)
target_include_directories(marldale_proxy_core PUBLIC src)
target_link_libraries(marldale_proxy_core PUBLIC marldale_attempts marldale_protocol Threads::Threads)
find_package(OpenSSL REQUIRED)
pkg_check_modules(LIBEVENT_TLS REQUIRED IMPORTED_TARGET libevent_openssl)
add_library(marldale_tls STATIC src/tls/context.cpp)
target_include_directories(marldale_tls PUBLIC src)
target_link_libraries(marldale_tls PUBLIC OpenSSL::SSL)
add_library(marldale_proxy_sockets STATIC src/proxy/box_pool.cpp src/proxy/gateway.cpp src/proxy/settings.cpp src/proxy/stream.cpp)
target_link_libraries(marldale_proxy_sockets PUBLIC marldale_proxy_core marldale_transport marldale_settings marldale_tls
  PkgConfig::LIBEVENT_TLS)
# The planners over the platform's protocol.
add_library(marldale_proxy_platform STATIC src/proxy/planners.cpp src/proxy/platform_side.cpp)
target_link_libraries(marldale_proxy_platform PUBLIC marldale_proxy_sockets marldale_routing)
if(MARLDALE_WITH_GRPC)
  add_library(marldale_proxy_planners STATIC src/proxy/planner_side.cpp)
  target_link_libraries(marldale_proxy_planners PUBLIC marldale_proxy_platform marldale_client)
  add_executable(marldale_proxy src/proxy_program/main.cpp)
  target_compile_definitions(marldale_proxy PRIVATE MARLDALE_VERSION="${PROJECT_VERSION}")
  target_link_libraries(marldale_proxy PRIVATE marldale_proxy_planners CLI11::CLI11)
endif()
