#include "policy/route/choose.h"
#include "policy/route/feedback.h"
#include "policy/route/update_candidates.h"

#include <benchmark/benchmark.h>

namespace magnolia::policy {
namespace {

constexpr TimePoint Start{std::chrono::seconds(1)};

std::vector<CandidateSpec> specs(std::size_t Count) {
  std::vector<CandidateSpec> Specs;
  for (std::size_t I = 0; I < Count; ++I) {
    Specs.push_back({.Node = hashOf("node", I), .Run = 1});
  }
  return Specs;
}

// Memory per candidate: its entry, its index entry and its slot in Active.
double bytesPerCandidate(const RouteState &State) {
  const std::size_t IndexNode =
      sizeof(void *) + sizeof(std::pair<const NodeId, std::uint32_t>);
  const std::size_t Bytes = State.Candidates.capacity() * sizeof(Candidate) +
                            State.Index.size() * IndexNode +
                            State.Index.bucket_count() * sizeof(void *) +
                            State.Active.capacity() * sizeof(std::uint32_t);
  return static_cast<double>(Bytes) /
         static_cast<double>(State.Candidates.size());
}

// One request: choice, dispatch and the response to an earlier request.
void runRequests(benchmark::State &Bench, const RouteQuery &Query) {
  RouteState State;
  updateCandidates(State, specs(static_cast<std::size_t>(Bench.range(0))),
                   Start);
  RandomEngine Random(1);
  Error LastError;
  TimePoint Now = Start;
  std::array<Dispatch, 16> Open{};
  std::size_t Turn = 0;
  for ([[maybe_unused]] auto Step : Bench) {
    Now += std::chrono::microseconds(100);
    Dispatch &Slot = Open[Turn++ % Open.size()];
    if (Slot.Node != 0) {
      onResponse(State, Slot, {.Load = LoadReport{.Limit = 12}}, Now);
    }
    const auto Node = choose(State, Query, Now, Random, LastError);
    Slot = onDispatch(State, Node.value_or(0), Now);
  }
  Bench.counters["bytes_per_candidate"] = bytesPerCandidate(State);
}

void request(benchmark::State &Bench) { runRequests(Bench, {}); }
BENCHMARK(request)->Arg(10)->Arg(1000)->Arg(19000);

void keyedRequest(benchmark::State &Bench) { runRequests(Bench, {.Key = 42}); }
BENCHMARK(keyedRequest)->Arg(10)->Arg(1000)->Arg(19000);

void chooseOnly(benchmark::State &Bench) {
  RouteState State;
  updateCandidates(State, specs(static_cast<std::size_t>(Bench.range(0))),
                   Start);
  RandomEngine Random(1);
  Error LastError;
  for ([[maybe_unused]] auto Step : Bench) {
    benchmark::DoNotOptimize(choose(State, {}, Start, Random, LastError));
  }
}
BENCHMARK(chooseOnly)->Arg(10)->Arg(1000)->Arg(19000);

void replaceCandidates(benchmark::State &Bench) {
  RouteState State;
  const auto Specs = specs(static_cast<std::size_t>(Bench.range(0)));
  for ([[maybe_unused]] auto Step : Bench) {
    updateCandidates(State, Specs, Start);
  }
}
BENCHMARK(replaceCandidates)->Arg(10)->Arg(1000)->Arg(19000);

} // namespace
} // namespace magnolia::policy
