# The API gateway: `marldale sluice` and `marldale headworks`. Each room of src/gateway/ is a library of its own; what decides
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

set(INSIDE_OUT ${PROJECT_BINARY_DIR}/proto)
set(INSIDE_STEM ${INSIDE_OUT}/marldale/gateway/inside)
add_custom_command(
  OUTPUT ${INSIDE_STEM}.pb.cc ${INSIDE_STEM}.pb.h
  COMMAND ${CMAKE_COMMAND} -E make_directory ${INSIDE_OUT}
  COMMAND ${PROTOC} -I${PROJECT_SOURCE_DIR}/proto --cpp_out=${INSIDE_OUT} marldale/gateway/inside.proto
  DEPENDS ${PROJECT_SOURCE_DIR}/proto/marldale/gateway/inside.proto
  VERBATIM)
add_library(gateway_proto STATIC ${INSIDE_STEM}.pb.cc)
target_include_directories(gateway_proto SYSTEM PUBLIC ${INSIDE_OUT})
target_compile_options(gateway_proto PRIVATE -w)
target_link_libraries(gateway_proto PUBLIC PkgConfig::PROTOBUF_LITE)

# A room: every source file in src/gateway/NAME but those of its `disk_*` (which have libraries of their own).
function(gateway_room name)
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

gateway_room(log PkgConfig::LOG4CXX)
gateway_room(settings PkgConfig::YAML absl::status absl::statusor absl::strings)
gateway_room(ledger PkgConfig::LMDB PkgConfig::XXHASH absl::status absl::statusor Threads::Threads)
gateway_room(plans gateway_settings PkgConfig::XXHASH absl::status absl::statusor)
gateway_room(gauges absl::status)
gateway_room(confluence)
gateway_room(aqueduct marldale_policy PkgConfig::XXHASH)
gateway_room(links Boost::headers absl::status absl::strings Threads::Threads)
gateway_room(manifold marldale_attempts absl::status)
gateway_room(penstock gateway_manifold marldale_attempts absl::status)
gateway_room(intake gateway_manifold Boost::headers absl::status)
gateway_room(sluice gateway_settings gateway_log PkgConfig::XXHASH gateway_intake gateway_penstock gateway_manifold gateway_links gateway_confluence)
gateway_room(headworks gateway_settings gateway_log gateway_ledger gateway_plans gateway_gauges gateway_aqueduct gateway_links gateway_confluence)

file(GLOB program_sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/gateway/program/*.cpp)
list(FILTER program_sources EXCLUDE REGEX "main\\.cpp$")
add_library(gateway_program STATIC ${program_sources})
target_include_directories(gateway_program PUBLIC ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR}/src/base)
target_include_directories(gateway_program SYSTEM PRIVATE ${RAPIDJSON_INCLUDE})
target_link_libraries(gateway_program PUBLIC gateway_sluice gateway_headworks absl::flags absl::flags_parse absl::flags_usage
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
  file(GLOB gateway_tests CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/gateway/*.cpp)
  add_executable(gateway_test ${gateway_tests})
  target_include_directories(gateway_test PRIVATE ${PROJECT_SOURCE_DIR}/tests/gateway)
  target_include_directories(gateway_test SYSTEM PRIVATE ${RAPIDJSON_INCLUDE})
  target_link_libraries(gateway_test PRIVATE gateway_program Catch2::Catch2)
  # Under a sanitizer, which is slow, a tenth of the replicas' histories is played, and by code that is optimised a little.
  if(MARLDALE_SANITIZE OR MARLDALE_TSAN)
    set(MARLDALE_LEDGER_HISTORIES 200)
    target_compile_options(gateway_proto PRIVATE -O1)
    target_compile_options(gateway_ledger PRIVATE -O1)
    set_source_files_properties(${PROJECT_SOURCE_DIR}/tests/gateway/ledger_world_test.cpp PROPERTIES COMPILE_OPTIONS -O1)
  else()
    set(MARLDALE_LEDGER_HISTORIES 2000)
  endif()
  catch_discover_tests(gateway_test TEST_PREFIX "gateway."
    PROPERTIES ENVIRONMENT "MARLDALE_LEDGER_HISTORIES=${MARLDALE_LEDGER_HISTORIES}")
endif()

# What it costs by size (make measure-capacity, docs/CAPACITY.md).
if(MARLDALE_TESTS OR MARLDALE_BENCH)
  add_library(gateway_capacity STATIC bench/gateway/slopes.cpp bench/gateway/figures.cpp bench/gateway/gauge.cpp
    bench/gateway/promises.cpp)
  target_include_directories(gateway_capacity PUBLIC ${PROJECT_SOURCE_DIR}/bench)
  target_link_libraries(gateway_capacity PUBLIC gateway_headworks)
endif()
if(MARLDALE_TESTS)
  target_link_libraries(gateway_test PRIVATE gateway_capacity)
endif()
if(MARLDALE_BENCH)
  add_executable(measure_capacity bench/gateway/measure_capacity.cpp bench/gateway/rooms.cpp
    bench/gateway/live_headworks.cpp bench/gateway/live_sluice.cpp)
  target_link_libraries(measure_capacity PRIVATE gateway_capacity gateway_program)
endif()
