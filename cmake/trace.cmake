# Recorded traffic: readers, traces, what may be tried again, and marldale_trace.
find_package(ZLIB REQUIRED)
pkg_check_modules(ZSTD REQUIRED IMPORTED_TARGET libzstd)
find_package(simdjson REQUIRED)
find_path(PCG_INCLUDE pcg_random.hpp REQUIRED)

# What may be tried again and what never; no I/O.
include(cmake/attempts.cmake)

add_library(marldale_trace_files STATIC src/lab/trace/file.cpp src/lab/trace/format.cpp)
target_include_directories(marldale_trace_files PUBLIC src/lab)
target_link_libraries(marldale_trace_files PUBLIC marldale_attempts PRIVATE nlohmann_json::nlohmann_json PkgConfig::ZSTD)

add_library(marldale_sources STATIC
  src/lab/sources/byte_source.cpp src/lab/sources/classes.cpp src/lab/sources/clock_keeper.cpp src/lab/sources/har_reader.cpp
  src/lab/sources/import_settings.cpp src/lab/sources/importer.cpp src/lab/sources/line_splitter.cpp src/lab/sources/log_format.cpp
  src/lab/sources/overlap_guard.cpp src/lab/sources/readers.cpp src/lab/sources/record.cpp src/lab/sources/stamp.cpp)
target_include_directories(marldale_sources SYSTEM PRIVATE ${PCG_INCLUDE})
target_link_libraries(marldale_sources PUBLIC marldale_trace_files marldale_settings
  PRIVATE nlohmann_json::nlohmann_json simdjson::simdjson PkgConfig::ZSTD ZLIB::ZLIB)

# Charts.
pkg_check_modules(CAIRO REQUIRED IMPORTED_TARGET cairo)
add_library(marldale_chart STATIC src/base/chart/chart.cpp)
target_include_directories(marldale_chart PUBLIC src/base)
target_link_libraries(marldale_chart PRIVATE PkgConfig::CAIRO)

# The replayer: its plan does no I/O.
find_package(Boost REQUIRED)
add_library(marldale_replay STATIC
  src/lab/replay/engine.cpp src/lab/replay/journal_file.cpp src/lab/replay/journal_thread.cpp src/lab/replay/plan.cpp src/lab/replay/rehearsal.cpp src/lab/replay/results.cpp src/lab/trace/statistics.cpp)
target_link_libraries(marldale_replay PUBLIC marldale_trace_files marldale_transport Boost::headers
  PRIVATE nlohmann_json::nlohmann_json)

add_executable(marldale_trace src/lab/trace_program/commands.cpp src/lab/trace_program/knowledge_commands.cpp src/lab/trace_program/main.cpp)
target_link_libraries(marldale_trace PRIVATE marldale_recovery marldale_protocol marldale_sources marldale_replay marldale_chart nlohmann_json::nlohmann_json
  CLI11::CLI11)
