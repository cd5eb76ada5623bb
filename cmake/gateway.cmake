# The API gateway: `marldale edge-proxy` and `marldale controller`. Each package of src/gateway/ is a library of its own; what decides
# knows no sockets. `-DMARLDALE_GATEWAY=ONLY` builds nothing else (deploy/system.toml).
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(absl REQUIRED)
find_package(Boost REQUIRED)
find_program(PROTOC protoc REQUIRED)
pkg_check_modules(PROTOBUF_LITE REQUIRED IMPORTED_TARGET protobuf-lite)
pkg_check_modules(LOG4CXX REQUIRED IMPORTED_TARGET liblog4cxx)
pkg_check_modules(LMDB REQUIRED IMPORTED_TARGET lmdb)
pkg_check_modules(YAML REQUIRED IMPORTED_TARGET yaml-cpp)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_path(RAPIDJSON_INCLUDE rapidjson/schema.h REQUIRED)

if(MARLDALE_TSAN)
  # GCC has no fences under ThreadSanitizer. Asio's own are beside its locks, which it sees.
  add_compile_definitions(BOOST_ASIO_DISABLE_FENCED_BLOCK)
endif()

set(INTERNAL_OUT ${PROJECT_BINARY_DIR}/proto)
set(INTERNAL_STEM ${INTERNAL_OUT}/marldale/gateway/internal)
add_custom_command(
  OUTPUT ${INTERNAL_STEM}.pb.cc ${INTERNAL_STEM}.pb.h
  COMMAND ${CMAKE_COMMAND} -E make_directory ${INTERNAL_OUT}
  COMMAND ${PROTOC} -I${PROJECT_SOURCE_DIR}/proto --cpp_out=${INTERNAL_OUT} marldale/gateway/internal.proto
  DEPENDS ${PROJECT_SOURCE_DIR}/proto/marldale/gateway/internal.proto
  VERBATIM)
add_library(gateway_proto STATIC ${INTERNAL_STEM}.pb.cc)
target_include_directories(gateway_proto SYSTEM PUBLIC ${INTERNAL_OUT})
target_compile_options(gateway_proto PRIVATE -w)
target_link_libraries(gateway_proto PUBLIC PkgConfig::PROTOBUF_LITE)

# A package: every source file in src/gateway/NAME but those of its `disk_*` (which have libraries of their own).
function(gateway_package name)
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/gateway/${name}/*.cpp)
  if(NOT sources)
    add_library(gateway_${name} INTERFACE)
    target_link_libraries(gateway_${name} INTERFACE gateway_proto ${ARGN})
    return()
  endif()
  add_library(gateway_${name} STATIC ${sources})
  target_include_directories(gateway_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR}/src/base)
  target_include_directories(gateway_${name} SYSTEM PRIVATE ${RAPIDJSON_INCLUDE})
  target_link_libraries(gateway_${name} PUBLIC gateway_proto ${ARGN})
endfunction()

gateway_package(log PkgConfig::LOG4CXX)
gateway_package(json absl::status absl::strings)
gateway_package(settings gateway_json PkgConfig::YAML absl::status absl::statusor absl::strings)
gateway_package(raft PkgConfig::LMDB PkgConfig::XXHASH absl::status absl::statusor Threads::Threads)
gateway_package(configuration gateway_json gateway_settings PkgConfig::XXHASH absl::status absl::statusor)
gateway_package(registry gateway_json gateway_settings absl::status absl::statusor)
gateway_package(gossip)
gateway_package(distribution gateway_configuration marldale_policy PkgConfig::XXHASH)
gateway_package(transport Boost::headers absl::status absl::strings Threads::Threads)
gateway_package(upstream marldale_attempts absl::status)
gateway_package(forwarding gateway_upstream marldale_attempts absl::status)
gateway_package(http_server gateway_upstream Boost::headers absl::status)
gateway_package(edge_proxy gateway_settings gateway_log PkgConfig::XXHASH gateway_http_server gateway_forwarding gateway_upstream gateway_transport gateway_gossip)
gateway_package(controller gateway_settings gateway_log gateway_raft gateway_configuration gateway_registry gateway_distribution gateway_transport gateway_gossip)

file(GLOB program_sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/gateway/program/*.cpp)
list(FILTER program_sources EXCLUDE REGEX "main\\.cpp$")
add_library(gateway_program STATIC ${program_sources})
target_include_directories(gateway_program PUBLIC ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR}/src/base)
target_include_directories(gateway_program SYSTEM PRIVATE ${RAPIDJSON_INCLUDE})
target_link_libraries(gateway_program PUBLIC gateway_edge_proxy gateway_controller absl::flags absl::flags_parse absl::flags_usage
  PkgConfig::LOG4CXX PkgConfig::YAML)
add_executable(marldale_gateway src/gateway/program/main.cpp)
target_link_libraries(marldale_gateway PRIVATE gateway_program)
if(MARLDALE_GATEWAY STREQUAL "ONLY")
  set_target_properties(marldale_gateway PROPERTIES OUTPUT_NAME marldale)
endif()

if(MARLDALE_TESTS)
  enable_testing()
  find_package(Catch2 REQUIRED)
  include(Catch)
  file(GLOB gateway_tests CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/gateway/*.cpp ${PROJECT_SOURCE_DIR}/tests/simulation/*_test.cpp)
  # Whole deployments under simulated troubles; `make simulate` runs the program.
  file(GLOB simulation_sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/simulation/*.cpp)
  list(FILTER simulation_sources EXCLUDE REGEX "(_test|simulate)\\.cpp$")
  add_library(gateway_simulation STATIC ${simulation_sources})
  target_include_directories(gateway_simulation PUBLIC ${PROJECT_SOURCE_DIR}/tests/simulation)
  target_link_libraries(gateway_simulation PUBLIC gateway_controller gateway_edge_proxy)
  add_executable(simulate tests/simulation/simulate.cpp)
  target_link_libraries(simulate PRIVATE gateway_simulation)

  add_executable(gateway_test ${gateway_tests})
  target_include_directories(gateway_test PRIVATE ${PROJECT_SOURCE_DIR}/tests/gateway)
  target_include_directories(gateway_test SYSTEM PRIVATE ${RAPIDJSON_INCLUDE})
  target_link_libraries(gateway_test PRIVATE gateway_program gateway_simulation Catch2::Catch2)
  # How the program ends on a signal is tried on the program itself.
  add_dependencies(gateway_test marldale_gateway)
  set_source_files_properties(${PROJECT_SOURCE_DIR}/tests/gateway/program_end_test.cpp
    ${PROJECT_SOURCE_DIR}/tests/gateway/untrusted_input_test.cpp PROPERTIES
    COMPILE_DEFINITIONS "MARLDALE_GATEWAY_PROGRAM=\"$<TARGET_FILE:marldale_gateway>\"")
  # Under a sanitizer, which is slow, a tenth of the replicas' histories is played, and by code that is optimised a little.
  if(MARLDALE_SANITIZE OR MARLDALE_TSAN)
    set(MARLDALE_RAFT_HISTORIES 200)
    set(MARLDALE_SIMULATION_HISTORIES 100)
    target_compile_options(gateway_simulation PRIVATE -O1)
    target_compile_options(gateway_proto PRIVATE -O1)
    target_compile_options(gateway_raft PRIVATE -O1)
    set_source_files_properties(${PROJECT_SOURCE_DIR}/tests/gateway/raft_world_test.cpp PROPERTIES COMPILE_OPTIONS -O1)
  else()
    set(MARLDALE_RAFT_HISTORIES 2000)
    set(MARLDALE_SIMULATION_HISTORIES 1000)
  endif()
  catch_discover_tests(gateway_test TEST_PREFIX "gateway."
    PROPERTIES ENVIRONMENT "MARLDALE_RAFT_HISTORIES=${MARLDALE_RAFT_HISTORIES};MARLDALE_SIMULATION_HISTORIES=${MARLDALE_SIMULATION_HISTORIES}")
endif()

# What it costs by size (make measure-capacity, docs/CAPACITY.md).
if(MARLDALE_TESTS OR MARLDALE_BENCH)
  add_library(gateway_capacity STATIC bench/gateway/slopes.cpp bench/gateway/figures.cpp bench/gateway/gauge.cpp
    bench/gateway/promises.cpp)
  target_include_directories(gateway_capacity PUBLIC ${PROJECT_SOURCE_DIR}/bench)
  target_link_libraries(gateway_capacity PUBLIC gateway_controller)
endif()
if(MARLDALE_TESTS)
  target_link_libraries(gateway_test PRIVATE gateway_capacity)
endif()
if(MARLDALE_BENCH)
  add_executable(measure_capacity bench/gateway/measure_capacity.cpp bench/gateway/packages.cpp
    bench/gateway/live_controller.cpp bench/gateway/live_edge_proxy.cpp)
  target_link_libraries(measure_capacity PRIVATE gateway_capacity gateway_program)
endif()
