# The incident emulator: boxes, relays, clients and planners in virtual time; no sockets.
add_library(marldale_emulator STATIC
  src/emulator/arrivals.cpp src/emulator/baselines.cpp src/emulator/box.cpp src/emulator/distribution.cpp
  src/emulator/emulation.cpp src/emulator/event_log.cpp src/emulator/faults.cpp src/emulator/instance.cpp
  src/emulator/relay.cpp src/emulator/rules.cpp src/emulator/scenario.cpp src/emulator/score.cpp
  src/emulator/tables.cpp)
target_include_directories(marldale_emulator SYSTEM PUBLIC ${PCG_INCLUDE})
target_link_libraries(marldale_emulator PUBLIC marldale_routing marldale_recovery marldale_trace_files marldale_settings
  PRIVATE PkgConfig::ZSTD)
