# What is known of the boxes and handed over, and which instances there are; no I/O.
pkg_check_modules(ZSTD REQUIRED IMPORTED_TARGET libzstd)
add_library(marldale_peers STATIC src/decisions/membership/peers.cpp)
target_include_directories(marldale_peers PUBLIC src src/base src/decisions)
add_library(marldale_recovery STATIC src/decisions/recovery/peer_queries.cpp src/decisions/recovery/codec.cpp src/decisions/recovery/knowledge.cpp
  src/decisions/recovery/coordinator.cpp src/decisions/recovery/snapshot.cpp)
target_include_directories(marldale_recovery PUBLIC src src/base src/decisions)
target_link_libraries(marldale_recovery PUBLIC marldale_peers PRIVATE PkgConfig::ZSTD)

# The keeper: a module that the planner loads only when its settings ask for it.
set_target_properties(marldale_recovery marldale_peers marldale_protocol marldale_dispatch marldale_membership marldale_wire marldale_policy PROPERTIES
  POSITION_INDEPENDENT_CODE ON)
add_library(marldale_knowledge MODULE src/planner/knowledge/keeper.cpp)
set_target_properties(marldale_knowledge PROPERTIES PREFIX "" CXX_VISIBILITY_PRESET hidden VISIBILITY_INLINES_HIDDEN ON)
target_link_libraries(marldale_knowledge PRIVATE marldale_recovery marldale_protocol Threads::Threads)
target_link_options(marldale_knowledge PRIVATE -Wl,--exclude-libs,ALL)
