# What is known of the boxes and handed over, and which instances there are; no I/O. Not linked by the planner yet.
add_library(marldale_recovery STATIC src/recovery/codec.cpp src/recovery/knowledge.cpp)
target_include_directories(marldale_recovery PUBLIC src)
target_link_libraries(marldale_recovery PRIVATE PkgConfig::ZSTD)
add_library(marldale_peers STATIC src/membership/peers.cpp)
target_include_directories(marldale_peers PUBLIC src)
