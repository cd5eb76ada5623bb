include_guard(GLOBAL)
# What may be tried again and what never: replayer, proxy and gateway. PCG is headers only.
find_path(PCG_INCLUDE pcg_random.hpp REQUIRED)
add_library(marldale_attempts STATIC
  src/decisions/attempts/retry_decision.cpp src/decisions/attempts/body_quota.cpp src/decisions/attempts/chains.cpp src/decisions/attempts/effect_ledger.cpp
  src/decisions/attempts/circuit_breaker.cpp src/decisions/attempts/journal.cpp src/decisions/attempts/outcome.cpp src/decisions/attempts/retry_budgets.cpp
  src/decisions/attempts/schedule.cpp)
target_include_directories(marldale_attempts PUBLIC src src/base src/decisions)
target_include_directories(marldale_attempts SYSTEM PRIVATE ${PCG_INCLUDE})
