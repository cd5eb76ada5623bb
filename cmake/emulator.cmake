# The incident emulator: boxes, relays, clients and planners in virtual time; no sockets.
add_library(marldale_emulator STATIC
  src/emulator/arrivals.cpp src/emulator/baselines.cpp src/emulator/box.cpp src/emulator/distribution.cpp
  src/emulator/emulation.cpp src/emulator/event_log.cpp src/emulator/faults.cpp src/emulator/instance.cpp
  src/emulator/relay.cpp src/emulator/rules.cpp src/emulator/scenario.cpp src/emulator/score.cpp
  src/emulator/tables.cpp)
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU" AND CMAKE_CXX_COMPILER_VERSION VERSION_LESS 13)
  # GCC 12 warns of the variants that a vector moves as it grows.
  set_source_files_properties(src/emulator/instance.cpp PROPERTIES COMPILE_OPTIONS -Wno-maybe-uninitialized)
endif()
target_include_directories(marldale_emulator SYSTEM PUBLIC ${PCG_INCLUDE})
target_link_libraries(marldale_emulator PUBLIC marldale_routing marldale_recovery marldale_trace_files marldale_settings
  PRIVATE PkgConfig::ZSTD)

# Experiments on it, and the program of both.
pkg_check_modules(SQLITE REQUIRED IMPORTED_TARGET sqlite3)
add_library(marldale_lab_base STATIC
  src/lab/cell.cpp src/lab/explain.cpp src/lab/plan.cpp src/lab/report.cpp src/lab/runner.cpp src/lab/search.cpp
  src/lab/statistics.cpp src/lab/store.cpp)
target_link_libraries(marldale_lab_base PUBLIC marldale_emulator marldale_chart
  PRIVATE nlohmann_json::nlohmann_json PkgConfig::SQLITE)
add_executable(marldale_lab src/lab_program/main.cpp)
target_compile_definitions(marldale_lab PRIVATE MARLDALE_VERSION="${PROJECT_VERSION}")
target_link_libraries(marldale_lab PRIVATE marldale_lab_base CLI11::CLI11)
