include_guard(GLOBAL)
# What may be tried again and what never: replayer, proxy and gateway. PCG is headers only.
find_path(PCG_INCLUDE pcg_random.hpp REQUIRED)
add_library(marldale_attempts STATIC
  src/attempts/again.cpp src/attempts/body_quota.cpp src/attempts/chains.cpp src/attempts/effect_ledger.cpp
  src/attempts/gate.cpp src/attempts/journal.cpp src/attempts/outcome.cpp src/attempts/retry_budgets.cpp
  src/attempts/schedule.cpp)
target_include_directories(marldale_attempts PUBLIC src)
target_include_directories(marldale_attempts SYSTEM PRIVATE ${PCG_INCLUDE})
