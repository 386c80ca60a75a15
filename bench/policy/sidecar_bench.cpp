#include "policy/admission/admit.h"
#include "policy/ledger/run_once.h"

#include <benchmark/benchmark.h>

namespace magnolia::policy {
namespace {

constexpr TimePoint Start{std::chrono::seconds(1)};

// One request through admission control.
void admitAndComplete(benchmark::State &Bench) {
  AdmissionState State;
  State.Ramp = State.Options.Slots;
  TimePoint Now = Start;
  for ([[maybe_unused]] auto Step : Bench) {
    Now += std::chrono::microseconds(100);
    benchmark::DoNotOptimize(admit(State, {.Deadline = TimePoint::max()}, Now));
    benchmark::DoNotOptimize(
        complete(State, {.Latency = std::chrono::milliseconds(2)}, Now));
  }
}
BENCHMARK(admitAndComplete);

// One non-idempotent request with a ledger that already holds the given number
// of entries, which expire at the rate at which new ones arrive.
void beginAndFinish(benchmark::State &Bench) {
  const auto Held = static_cast<std::uint64_t>(Bench.range(0));
  RunLedger Ledger(1, {.MaxRequests = 2 * Held, .FenceReserve = 0});
  const Duration Step = Ledger.Options.Retention / Held;
  TimePoint Now = Start;
  std::uint64_t Sequence = 0;
  const auto Next = [&] {
    Now += Step;
    const RequestId Id{.Origin = 1, .Run = 1, .Sequence = ++Sequence};
    benchmark::DoNotOptimize(begin(Ledger, Id, Now));
    finish(Ledger, Id, true);
  };
  for (std::uint64_t I = 0; I < Held; ++I) {
    Next();
  }
  for ([[maybe_unused]] auto Round : Bench) {
    Next();
  }
  Bench.counters["bytes_per_entry"] =
      static_cast<double>(Ledger.Requests.bytes()) /
      static_cast<double>(Ledger.Requests.size());
}
BENCHMARK(beginAndFinish)->Arg(10)->Arg(1000)->Arg(19000)->Arg(131072);

void claimAndFinishKey(benchmark::State &Bench) {
  RunLedger Ledger(1);
  TimePoint Now = Start;
  std::uint64_t Sequence = 0;
  for ([[maybe_unused]] auto Step : Bench) {
    Now += std::chrono::milliseconds(10);
    const RequestId Id{.Origin = 1, .Run = 1, .Sequence = ++Sequence};
    const std::string Key = std::to_string(Sequence);
    benchmark::DoNotOptimize(claimKey(Ledger, "orders", Key, Id, Now));
    finishKey(Ledger, "orders", Key, Id, true);
  }
}
BENCHMARK(claimAndFinishKey);

} // namespace
} // namespace magnolia::policy
