#include "membership_bench.h"
#include "policy/config/apply.h"
#include "policy/config/exchange.h"
#include "policy/config/patch.h"
#include "policy/config/push_targets.h"
#include "policy/core/error.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>
#include <cmath>
#include <map>
#include <random>

namespace magnolia::bench {
namespace {

using policy::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t ValueBytes = 1'024;
// Framing, authentication and headers of one control call, in both directions.
constexpr std::size_t CallBytes = 400;

policy::ConfigEntry entry(std::uint64_t Revision, std::size_t Key) {
  return {.Key = "services/service-" + std::to_string(Key),
          .Revision = Revision,
          .Value = std::string(ValueBytes, 'v'),
          .Tombstone = false};
}

policy::ConfigTable filledTable(std::size_t Entries) {
  policy::ConfigTable Table;
  for (std::size_t I = 0; I < Entries; ++I) {
    policy::apply(Table, entry(I + 1, I));
  }
  return Table;
}

void applyEntry(benchmark::State &Bench) {
  const auto Entries = static_cast<std::size_t>(Bench.range(0));
  policy::ConfigTable Table = filledTable(Entries);
  std::uint64_t Revision = Entries;
  while (Bench.KeepRunning()) {
    ++Revision;
    benchmark::DoNotOptimize(
        policy::apply(Table, entry(Revision, Revision % Entries)));
  }
}
BENCHMARK(applyEntry)->Arg(10)->Arg(1'800);

// Synchronises two tables that differ in one entry. Only differing buckets are
// exchanged.
void exchangeOne(benchmark::State &Bench) {
  const auto Entries = static_cast<std::size_t>(Bench.range(0));
  const policy::ConfigTable Left = filledTable(Entries);
  policy::ConfigTable Right = Left;
  policy::apply(Right, entry(Entries + 1, 0));
  std::size_t Bytes = 0;
  while (Bench.KeepRunning()) {
    const auto Buckets =
        policy::differingBuckets(policy::digest(Left), policy::digest(Right));
    const auto Held = policy::revisions(Left, Buckets);
    const auto Answer = policy::diff(Right, Held, Buckets);
    Bytes = sizeof(policy::ConfigDigest) + Answer.Newer.size() * ValueBytes;
    for (const policy::KeyRevision &Key : Held) {
      Bytes += Key.Key.size() + 12;
    }
  }
  Bench.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(exchangeOne)->Arg(10)->Arg(1'800);

// Value with a route per line of which one has another weight.
policy::ConfigEntry routes(std::uint64_t Revision, std::size_t Count) {
  policy::ConfigEntry Made = entry(Revision, 0);
  Made.Value.clear();
  for (std::size_t I = 0; I < Count; ++I) {
    Made.Value += "route " + std::to_string(I) + std::string(160, '.') +
                  (I == Revision ? "7" : "1") + "\n";
  }
  return Made;
}

// Time to describe, and to apply, the change of one line.
void patchOneLine(benchmark::State &Bench) {
  const auto Count = static_cast<std::size_t>(Bench.range(0));
  const policy::ConfigEntry Base = routes(1, Count);
  const policy::ConfigEntry Next = routes(Count / 2, Count);
  while (Bench.KeepRunning()) {
    benchmark::DoNotOptimize(policy::makePatch(Base, Next));
  }
  Bench.counters["bytes"] =
      static_cast<double>(policy::bytesOf(policy::makePatch(Base, Next)));
}
BENCHMARK(patchOneLine)->Arg(400)->Arg(1'800);

void applyOneLine(benchmark::State &Bench) {
  const auto Count = static_cast<std::size_t>(Bench.range(0));
  const policy::ConfigEntry Base = routes(1, Count);
  const policy::ValuePatch Patch =
      policy::makePatch(Base, routes(Count / 2, Count));
  policy::Error LastError;
  while (Bench.KeepRunning()) {
    benchmark::DoNotOptimize(policy::applyPatch(Base.Value, Patch, LastError));
  }
}
BENCHMARK(applyOneLine)->Arg(400)->Arg(1'800);

// Propagation of one change through a fleet in virtual time.
struct Propagation {
  struct Push {
    std::size_t To;
    int Round;
  };

  std::vector<policy::Member> Fleet;
  std::unordered_map<policy::NodeId, std::size_t> Index;
  std::vector<bool> Known;
  std::multimap<TimePoint, Push> InFlight;
  policy::RandomEngine Random{1};
  TimePoint Now;
  double Loss = 0.05;
  std::size_t Count = 0;
  std::size_t Pushes = 0;
  std::size_t Repairs = 0;
  int Rounds = 0;
};

void receive(Propagation &Run, std::size_t Node, int Round, bool Origin) {
  if (Run.Known[Node]) {
    return;
  }
  Run.Known[Node] = true;
  ++Run.Count;
  Run.Rounds = std::max(Run.Rounds, Round);
  std::uniform_real_distribution<double> Chance(0.0, 1.0);
  for (const policy::Member &Target : policy::pushTargets(
           Run.Fleet[Node], Run.Fleet, {.Origin = Origin}, Run.Random)) {
    ++Run.Pushes;
    if (Chance(Run.Random) >= Run.Loss) {
      // Duration of a call: two round trips, within the region or to another
      // one.
      const bool Near = Target.Region == Run.Fleet[Node].Region;
      const milliseconds Delay{Near ? 5 + Run.Random() % 20
                                    : 100 + Run.Random() % 300};
      Run.InFlight.emplace(
          Run.Now + Delay,
          Propagation::Push{Run.Index.at(Target.Node), Round + 1});
    }
  }
}

// Anti-entropy by the digests of the pings: each node compares its digest with
// one random node a second, and an exchange takes two calls.
void compareDigests(Propagation &Run, TimePoint Until) {
  for (std::size_t I = 0; I < Run.Fleet.size(); ++I) {
    const std::size_t Other = Run.Random() % Run.Fleet.size();
    if (Run.Random() % 10 != 0 || Run.Known[I] == Run.Known[Other]) {
      continue;
    }
    ++Run.Repairs;
    const milliseconds Delay{200 + Run.Random() % 600};
    Run.InFlight.emplace(Until + Delay,
                         Propagation::Push{Run.Known[I] ? Other : I, 0});
  }
}

// Arguments: number of members, and whether the watchers of all zones see the
// change in the store (1) or an operator sent it to a single node (0).
void spreadEntry(benchmark::State &Bench) {
  const auto Size = static_cast<std::size_t>(Bench.range(0));
  const bool FromStore = Bench.range(1) != 0;
  while (Bench.KeepRunning()) {
    Propagation Run;
    Run.Fleet = fleetMembers(Size);
    Run.Known.assign(Size, false);
    for (std::size_t I = 0; I < Size; ++I) {
      Run.Index[Run.Fleet[I].Node] = I;
    }
    if (FromStore) {
      for (const policy::Member &Watcher : policy::watchersOf(Run.Fleet)) {
        receive(Run, Run.Index.at(Watcher.Node), 0, false);
      }
    } else {
      receive(Run, 0, 0, true);
    }
    TimePoint Most;
    while (Run.Count < Size && Run.Now < TimePoint{seconds{60}}) {
      const TimePoint Next = Run.Now + milliseconds{100};
      while (!Run.InFlight.empty() && Run.InFlight.begin()->first <= Next) {
        const auto Item = Run.InFlight.extract(Run.InFlight.begin());
        Run.Now = Item.key();
        receive(Run, Item.mapped().To, Item.mapped().Round, false);
      }
      Run.Now = Next;
      if (Most == TimePoint{} && Run.Count * 100 >= Size * 99) {
        Most = Run.Now;
      }
      compareDigests(Run, Next);
    }
    const auto Seconds = [](TimePoint Time) {
      return std::chrono::duration<double>(Time.time_since_epoch()).count();
    };
    Bench.counters["most_know_s"] = Seconds(Most);
    Bench.counters["all_know_s"] = Seconds(Run.Now);
    Bench.counters["rounds"] = Run.Rounds;
    Bench.counters["pushes"] = static_cast<double>(Run.Pushes);
    Bench.counters["exchanges"] = static_cast<double>(Run.Repairs);
    Bench.counters["bytes_per_node"] =
        static_cast<double>((Run.Pushes + 2 * Run.Repairs) *
                            (ValueBytes + CallBytes)) /
        static_cast<double>(Size);
  }
}
BENCHMARK(spreadEntry)
    ->Args({12, 1})
    ->Args({12, 0})
    ->Args({1'000, 1})
    ->Args({1'000, 0})
    ->Args({19'000, 1})
    ->Args({19'000, 0})
    ->Iterations(1)
    ->Unit(benchmark::kSecond);

} // namespace
} // namespace magnolia::bench
