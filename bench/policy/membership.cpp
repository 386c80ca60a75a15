#include "membership_bench.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>
#include <malloc.h>
#include <random>
#include <unordered_map>

namespace magnolia::bench {
namespace {

using policy::Duration;
using policy::MembershipAction;
using policy::MembershipState;
using policy::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration TickPeriod = milliseconds{100};

MembershipState filledState(std::size_t Index,
                            const std::vector<policy::Member> &Fleet,
                            TimePoint Now) {
  MembershipState State = policy::makeMembership(Fleet[Index], Now);
  policy::mergeMembers(State, Fleet, Now);
  // Starts in the state after a long uptime, when the initial page exchange of
  // the fleet is over.
  State.SyncDelay = State.Options.SyncPeriod;
  State.NextSync = Now + State.SyncDelay;
  return State;
}

// Responds to every ping of the simulated node as the other members would.
void answerAll(MembershipState &State,
               const std::vector<MembershipAction> &Sent, TimePoint Now,
               policy::RandomEngine &Random) {
  for (const MembershipAction &Action : Sent) {
    if (Action.Message.Sequence == 0 || Action.Target == 0) {
      continue;
    }
    policy::MembershipMessage Ack;
    Ack.Type = policy::MessageType::Ack;
    Ack.Sequence = Action.Message.Sequence;
    Ack.From = *policy::findMember(State, Action.Target);
    Ack.Target = Action.Target;
    Ack.MemberDigest = policy::digest(State);
    benchmark::DoNotOptimize(policy::onMessage(State, Ack, Now, Random));
  }
}

// One node of a fleet without changes. Counters: bytes of memory per member,
// and datagrams and bytes that the node's timers send per second.
void tickQuiet(benchmark::State &Bench) {
  const auto Size = static_cast<std::size_t>(Bench.range(0));
  const std::vector<policy::Member> Fleet = fleetMembers(Size);
  policy::RandomEngine Random(1);
  TimePoint Now{seconds{1}};
  const std::size_t Before = mallinfo2().uordblks;
  MembershipState State = filledState(0, Fleet, Now);
  const std::size_t After = mallinfo2().uordblks;
  std::int64_t Ticks = 0;
  while (Bench.KeepRunning()) {
    Now += TickPeriod;
    answerAll(State, policy::tick(State, Now, Random), Now, Random);
    ++Ticks;
  }
  const double Time = static_cast<double>(Ticks) *
                      std::chrono::duration<double>(TickPeriod).count();
  Bench.counters["bytes_per_member"] =
      static_cast<double>(After - Before) / static_cast<double>(Size);
  Bench.counters["sent_per_s"] =
      static_cast<double>(State.Counters.Sent) / Time;
  Bench.counters["bytes_per_s"] =
      static_cast<double>(State.Counters.BytesSent) / Time;
}
BENCHMARK(tickQuiet)->Arg(10)->Arg(1'000)->Arg(19'000);

// The same node while it receives more changes than it may forward, which shows
// the bound on its traffic. The time covers one tick and ten received updates.
void tickFlooded(benchmark::State &Bench) {
  const auto Size = static_cast<std::size_t>(Bench.range(0));
  const std::vector<policy::Member> Fleet = fleetMembers(Size);
  policy::RandomEngine Random(1);
  TimePoint Now{seconds{1}};
  MembershipState State = filledState(0, Fleet, Now);
  std::int64_t Ticks = 0;
  while (Bench.KeepRunning()) {
    Now += TickPeriod;
    policy::MembershipMessage News;
    News.From = *policy::findMember(State, Fleet[1].Node);
    for (int I = 0; I < 10; ++I) {
      const std::size_t Any = 1 + Random() % (Size - 1);
      News.Updates.push_back(*policy::findMember(State, Fleet[Any].Node));
      ++News.Updates.back().RecordVersion;
    }
    benchmark::DoNotOptimize(policy::onMessage(State, News, Now, Random));
    answerAll(State, policy::tick(State, Now, Random), Now, Random);
    ++Ticks;
  }
  const double Time = static_cast<double>(Ticks) *
                      std::chrono::duration<double>(TickPeriod).count();
  Bench.counters["sent_per_s"] =
      static_cast<double>(State.Counters.Sent) / Time;
  Bench.counters["bytes_per_s"] =
      static_cast<double>(State.Counters.BytesSent) / Time;
}
BENCHMARK(tickFlooded)->Arg(10)->Arg(1'000)->Arg(19'000);

// All nodes of a fleet in virtual time.
struct Fleet {
  struct Datagram {
    std::size_t From;
    std::size_t To;
    policy::MembershipMessage Message;
  };

  std::vector<policy::Member> Records;
  std::vector<MembershipState> States;
  std::unordered_map<policy::NodeId, std::size_t> Index;
  std::multimap<TimePoint, Datagram> InFlight;
  policy::RandomEngine Random{1};
  TimePoint Now{seconds{1}};
  double Loss = 0.01;
  // Region that no datagram enters or leaves.
  std::string IsolatedRegion;
};

Fleet makeFleet(std::size_t Size) {
  Fleet Run;
  Run.Records = fleetMembers(Size);
  for (std::size_t I = 0; I < Size; ++I) {
    Run.States.push_back(filledState(I, Run.Records, Run.Now));
    Run.Index[Run.Records[I].Node] = I;
  }
  return Run;
}

void send(Fleet &Run, std::size_t From,
          const std::vector<MembershipAction> &Actions) {
  std::uniform_real_distribution<double> Chance(0.0, 1.0);
  for (const MembershipAction &Action : Actions) {
    const std::size_t To = Run.Index.at(Action.Target);
    const bool Crosses = (Run.Records[From].Region == Run.IsolatedRegion) !=
                         (Run.Records[To].Region == Run.IsolatedRegion);
    if (Crosses || Chance(Run.Random) < Run.Loss) {
      continue;
    }
    const milliseconds Delay{1 + static_cast<int>(Run.Random() % 100)};
    Run.InFlight.emplace(Run.Now + Delay,
                         Fleet::Datagram{From, To, Action.Message});
  }
}

void step(Fleet &Run) {
  const TimePoint Next = Run.Now + TickPeriod;
  while (!Run.InFlight.empty() && Run.InFlight.begin()->first <= Next) {
    const auto Item = Run.InFlight.extract(Run.InFlight.begin());
    Run.Now = Item.key();
    const Fleet::Datagram &Mail = Item.mapped();
    send(Run, Mail.To,
         policy::onMessage(Run.States[Mail.To], Mail.Message, Run.Now,
                           Run.Random));
  }
  Run.Now = Next;
  for (std::size_t I = 0; I < Run.States.size(); ++I) {
    send(Run, I, policy::tick(Run.States[I], Run.Now, Run.Random));
  }
}

void runFor(Fleet &Run, Duration Time) {
  for (const TimePoint End = Run.Now + Time; Run.Now < End;) {
    step(Run);
  }
}

std::uint64_t sent(const Fleet &Run) {
  std::uint64_t Sum = 0;
  for (const MembershipState &State : Run.States) {
    Sum += State.Counters.Sent;
  }
  return Sum;
}

std::uint64_t bytes(const Fleet &Run) {
  std::uint64_t Sum = 0;
  for (const MembershipState &State : Run.States) {
    Sum += State.Counters.BytesSent;
  }
  return Sum;
}

// Propagation of one change, a draining node. Counters: seconds until all nodes
// and until 99 of 100 nodes know it, and datagrams and bytes in addition to
// those of a fleet without changes.
void spreadChange(benchmark::State &Bench) {
  const auto Size = static_cast<std::size_t>(Bench.range(0));
  constexpr Duration Window = seconds{30};
  while (Bench.KeepRunning()) {
    Fleet Run = makeFleet(Size);
    runFor(Run, Window);
    const std::uint64_t QuietSent = sent(Run);
    const std::uint64_t QuietBytes = bytes(Run);
    policy::announce(
        Run.States[0],
        {.Service = "service-0", .Version = "2026-12-04", .Draining = true});
    const TimePoint Start = Run.Now;
    TimePoint Most;
    TimePoint All;
    while (Run.Now < Start + Window) {
      step(Run);
      const auto Known = static_cast<std::size_t>(std::count_if(
          Run.States.begin(), Run.States.end(), [&Run](const auto &State) {
            return policy::findMember(State, Run.Records[0].Node)->Draining;
          }));
      Most = Most == TimePoint{} && Known * 100 >= Size * 99 ? Run.Now : Most;
      All = All == TimePoint{} && Known == Size ? Run.Now : All;
    }
    const auto Nodes = static_cast<double>(Size);
    const auto Seconds = [Start](TimePoint Time) {
      return std::chrono::duration<double>(Time - Start).count();
    };
    Bench.counters["most_know_s"] = Seconds(Most);
    Bench.counters["all_know_s"] = Seconds(All);
    Bench.counters["quiet_sent_per_node_s"] =
        static_cast<double>(QuietSent) / Nodes / 30;
    Bench.counters["quiet_bytes_per_node_s"] =
        static_cast<double>(QuietBytes) / Nodes / 30;
    Bench.counters["change_sent"] = static_cast<double>(sent(Run) - QuietSent) -
                                    static_cast<double>(QuietSent);
    Bench.counters["change_bytes_per_node"] =
        (static_cast<double>(bytes(Run) - QuietBytes) -
         static_cast<double>(QuietBytes)) /
        Nodes;
  }
}
BENCHMARK(spreadChange)
    ->Arg(10)
    ->Arg(1'000)
    ->Iterations(1)
    ->Unit(benchmark::kSecond);

// A region is partitioned from the others for three minutes. Counters: maximum
// bytes that one node sends in a second during the partition and after it, and
// seconds after its end until 99.9% of the views show their subject as live.
void partitionRegion(benchmark::State &Bench) {
  const auto Size = static_cast<std::size_t>(Bench.range(0));
  while (Bench.KeepRunning()) {
    Fleet Run = makeFleet(Size);
    runFor(Run, seconds{5});
    const auto MostBytes = [&Run] {
      std::vector<std::uint64_t> Before;
      for (const MembershipState &State : Run.States) {
        Before.push_back(State.Counters.BytesSent);
      }
      runFor(Run, seconds{1});
      std::uint64_t Most = 0;
      for (std::size_t I = 0; I < Before.size(); ++I) {
        Most = std::max(Most, Run.States[I].Counters.BytesSent - Before[I]);
      }
      return static_cast<double>(Most);
    };
    double MostCut = 0;
    double MostHeal = 0;
    double HealedAfter = -1;
    Run.IsolatedRegion = "region-0";
    for (int I = 0; I < 180; ++I) {
      MostCut = std::max(MostCut, MostBytes());
    }
    std::size_t LostViews = 0;
    for (const MembershipState &State : Run.States) {
      LostViews += Size - State.Table.Live;
    }
    Run.IsolatedRegion.clear();
    for (int I = 1; I <= 120; ++I) {
      MostHeal = std::max(MostHeal, MostBytes());
      std::size_t Live = 0;
      for (const MembershipState &State : Run.States) {
        Live += State.Table.Live;
      }
      if (HealedAfter < 0 && Live * 1'000 >= Size * Size * 999) {
        HealedAfter = I;
      }
    }
    Bench.counters["lost_views"] = static_cast<double>(LostViews);
    Bench.counters["cut_most_bytes_s"] = MostCut;
    Bench.counters["heal_most_bytes_s"] = MostHeal;
    Bench.counters["healed_after_s"] = HealedAfter;
  }
}
BENCHMARK(partitionRegion)->Arg(1'000)->Iterations(1)->Unit(benchmark::kSecond);

} // namespace
} // namespace magnolia::bench
