#include "experiment.h"

#include <benchmark/benchmark.h>
#include <charconv>
#include <getopt.h>
#include <iostream>
#include <optional>

namespace {

struct Arguments {
  std::string_view Experiment;
  std::uint64_t First = 1;
  std::uint64_t Last = 1;
};

// Parses a seed or a range of seeds, such as "3" or "1-20".
bool parseSeeds(std::string_view Text, Arguments &Out) {
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data(), End, Out.First);
  Out.Last = Out.First;
  if (Result.ec == std::errc{} && Result.ptr != End && *Result.ptr == '-') {
    Result = std::from_chars(Result.ptr + 1, End, Out.Last);
  }
  return Result.ec == std::errc{} && Result.ptr == End && Out.First <= Out.Last;
}

std::optional<Arguments> parse(int Count, char **Values) {
  constexpr option Options[] = {{"experiment", required_argument, nullptr, 'e'},
                                {"seeds", required_argument, nullptr, 's'},
                                {nullptr, 0, nullptr, 0}};
  Arguments Out;
  for (int Option = 0;
       (Option = getopt_long(Count, Values, "", Options, nullptr)) != -1;) {
    if (Option == 'e') {
      Out.Experiment = optarg;
    } else if (Option != 's' || !parseSeeds(optarg, Out)) {
      return std::nullopt;
    }
  }
  return Out;
}

} // namespace

// Runs an experiment in virtual time with --experiment NAME [--seeds A-B],
// otherwise the benchmarks with the options of Google Benchmark.
int main(int Count, char **Values) {
  benchmark::Initialize(&Count, Values);
  const std::optional<Arguments> Given = parse(Count, Values);
  if (!Given) {
    std::cerr << "usage: policy [--experiment routing|cold-start|overload|slow|"
                 "faults [--seeds A-B]] [benchmark options]\n";
    return 2;
  }
  if (!Given->Experiment.empty()) {
    return magnolia::policy::bench::runExperiment(Given->Experiment,
                                                  Given->First, Given->Last);
  }
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
