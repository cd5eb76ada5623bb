# Recorded traffic: readers, traces, what may be tried again, and marldale_trace.
find_package(ZLIB REQUIRED)
pkg_check_modules(ZSTD REQUIRED IMPORTED_TARGET libzstd)
find_package(simdjson REQUIRED)
find_path(PCG_INCLUDE pcg_random.hpp REQUIRED)

# What may be tried again and what never; no I/O.
include(cmake/attempts.cmake)

add_library(marldale_trace_files STATIC src/trace/file.cpp src/trace/format.cpp)
target_link_libraries(marldale_trace_files PUBLIC marldale_attempts PRIVATE nlohmann_json::nlohmann_json PkgConfig::ZSTD)

add_library(marldale_sources STATIC
  src/sources/byte_source.cpp src/sources/classes.cpp src/sources/clock_keeper.cpp src/sources/har_reader.cpp
  src/sources/import_settings.cpp src/sources/importer.cpp src/sources/line_splitter.cpp src/sources/log_format.cpp
  src/sources/overlap_guard.cpp src/sources/readers.cpp src/sources/record.cpp src/sources/stamp.cpp)
target_include_directories(marldale_sources SYSTEM PRIVATE ${PCG_INCLUDE})
target_link_libraries(marldale_sources PUBLIC marldale_trace_files marldale_settings
  PRIVATE nlohmann_json::nlohmann_json simdjson::simdjson PkgConfig::ZSTD ZLIB::ZLIB)

# Charts.
pkg_check_modules(CAIRO REQUIRED IMPORTED_TARGET cairo)
add_library(marldale_chart STATIC src/chart/chart.cpp)
target_include_directories(marldale_chart PUBLIC src)
target_link_libraries(marldale_chart PRIVATE PkgConfig::CAIRO)

# The replayer: its plan does no I/O.
find_package(Boost REQUIRED)
add_library(marldale_replay STATIC
  src/replay/engine.cpp src/replay/journal_file.cpp src/replay/journal_thread.cpp src/replay/plan.cpp src/replay/rehearsal.cpp src/replay/results.cpp src/trace/statistics.cpp)
target_link_libraries(marldale_replay PUBLIC marldale_trace_files marldale_transport Boost::headers
  PRIVATE nlohmann_json::nlohmann_json)

add_executable(marldale_trace src/trace_program/commands.cpp src/trace_program/knowledge_commands.cpp src/trace_program/main.cpp)
target_link_libraries(marldale_trace PRIVATE marldale_recovery marldale_protocol marldale_sources marldale_replay marldale_chart nlohmann_json::nlohmann_json
  CLI11::CLI11)
