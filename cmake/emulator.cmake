# The incident emulator: boxes, relays, clients and planners in virtual time; no sockets.
add_library(marldale_emulator STATIC
  src/lab/emulator/arrivals.cpp src/lab/emulator/baselines.cpp src/lab/emulator/box.cpp src/lab/emulator/distribution.cpp
  src/lab/emulator/emulation.cpp src/lab/emulator/event_log.cpp src/lab/emulator/faults.cpp src/lab/emulator/instance.cpp
  src/lab/emulator/relay.cpp src/lab/emulator/rules.cpp src/lab/emulator/scenario.cpp src/lab/emulator/score.cpp
  src/lab/emulator/tables.cpp)
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU" AND CMAKE_CXX_COMPILER_VERSION VERSION_LESS 13)
  # GCC 12 warns of the variants that a vector moves as it grows.
  set_source_files_properties(src/lab/emulator/instance.cpp PROPERTIES COMPILE_OPTIONS -Wno-maybe-uninitialized)
endif()
target_include_directories(marldale_emulator SYSTEM PUBLIC ${PCG_INCLUDE})
target_link_libraries(marldale_emulator PUBLIC marldale_routing marldale_recovery marldale_trace_files marldale_settings
  PRIVATE PkgConfig::ZSTD)

# Experiments on it, and the program of both.
pkg_check_modules(SQLITE REQUIRED IMPORTED_TARGET sqlite3)
add_library(marldale_lab_base STATIC
  src/lab/lab/cell.cpp src/lab/lab/explain.cpp src/lab/lab/plan.cpp src/lab/lab/report.cpp src/lab/lab/runner.cpp src/lab/lab/search.cpp
  src/lab/lab/statistics.cpp src/lab/lab/store.cpp)
target_link_libraries(marldale_lab_base PUBLIC marldale_emulator marldale_chart
  PRIVATE nlohmann_json::nlohmann_json PkgConfig::SQLITE)
add_executable(marldale_lab src/lab/lab_program/main.cpp)
target_compile_definitions(marldale_lab PRIVATE MARLDALE_VERSION="${PROJECT_VERSION}")
target_link_libraries(marldale_lab PRIVATE marldale_lab_base CLI11::CLI11)
