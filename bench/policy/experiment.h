#ifndef BENCH_POLICY_EXPERIMENT_H
#define BENCH_POLICY_EXPERIMENT_H

#include <cstdint>
#include <string_view>

namespace magnolia::policy::bench {

// Runs the experiment of this name over the seeds and prints one JSON line per
// measure. Returns the exit status: 0 where every bound held, 1 where one
// didn't, 2 where the name is unknown.
int runExperiment(std::string_view Name, std::uint64_t FirstSeed,
                  std::uint64_t LastSeed);

} // namespace magnolia::policy::bench

#endif
