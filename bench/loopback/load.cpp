#include "load.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace magnolia::bench {

namespace {

constexpr auto StopCheck = std::chrono::milliseconds(50);
// A caller that is further behind its schedule skips calls, which limits the
// duration of a blocked run.
constexpr auto MostBehind = std::chrono::seconds(2);
constexpr double ReadShare = 0.7;

} // namespace

Call planCall(const LoadPlan &Plan, int Caller, std::uint64_t Number,
              std::mt19937_64 &Engine) {
  std::uniform_real_distribution<double> Share(0, 1);
  std::uniform_int_distribution<std::size_t> Bytes(100, 4000);
  std::uniform_int_distribution<std::size_t> Pick(0, Plan.Services.size() - 1);
  const auto Service = Pick(Engine);
  Call Planned;
  Planned.Service = Plan.Services[Service];
  Planned.Bytes = Bytes(Engine);
  Planned.Idempotent = Share(Engine) < ReadShare;
  Planned.Path = !Planned.Idempotent   ? "/hold"
                 : Share(Engine) < 0.5 ? "/browse"
                                       : "/stock";
  Planned.Token =
      Plan.Name + '-' + std::to_string(Caller) + '-' + std::to_string(Number);
  if (Service == 0 || !Plan.PathsOfFirstOnly) {
    Planned.Via = Plan.RequestPaths[Number % Plan.RequestPaths.size()];
  }
  return Planned;
}

Load::Load(LoadPlan Given) : Plan(std::move(Given)), Results(Plan.Callers) {
  for (int Caller = 0; Caller < Plan.Callers; ++Caller) {
    Threads.emplace_back([this, Caller] { call(Caller); });
  }
}

Load::~Load() { finish(); }

std::vector<CallResult> Load::finish() {
  Stopping = true;
  for (auto &Thread : Threads) {
    Thread.join();
  }
  Threads.clear();
  std::vector<CallResult> All;
  for (auto &Part : Results) {
    std::move(Part.begin(), Part.end(), std::back_inserter(All));
    Part.clear();
  }
  return All;
}

void Load::call(int Caller) {
  std::mt19937_64 Engine(Plan.Seed * 1000 + static_cast<std::uint64_t>(Caller));
  std::exponential_distribution<double> Gap(Plan.CallsPerSecond / Plan.Callers);
  CallerClient Client(Plan.Targets, static_cast<std::size_t>(Caller));
  auto Due = Clock::now();
  for (std::uint64_t Number = 0; !Stopping; ++Number) {
    Due += std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(Gap(Engine)));
    while (!Stopping && Clock::now() < Due) {
      std::this_thread::sleep_until(std::min(Due, Clock::now() + StopCheck));
    }
    auto Planned = planCall(Plan, Caller, Number, Engine);
    if (!Stopping && Clock::now() - Due < MostBehind) {
      Results[Caller].push_back(Client.make(std::move(Planned), Due));
    }
  }
}

} // namespace magnolia::bench
