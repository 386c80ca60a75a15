#ifndef BENCH_POLICY_EXPERIMENT_H
#define BENCH_POLICY_EXPERIMENT_H

#include <cstdint>
#include <string_view>

namespace magnolia::policy::bench {

// Runs the named experiment with each seed and prints one JSON line per
// measure. Returns the exit status: 0 if every bound was met, 1 if one was not,
// 2 if the name is unknown.
int runExperiment(std::string_view Name, std::uint64_t FirstSeed,
                  std::uint64_t LastSeed);

} // namespace magnolia::policy::bench

#endif
