#include "policy/rollout/rollout_run.h"

#include <algorithm>
#include <random>
#include <string>
#include <utility>

namespace magnolia::policy::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Step = milliseconds{10};
constexpr Duration ReportPeriod = milliseconds{500};
constexpr Duration PollPeriod = milliseconds{200};
constexpr Duration UntilRouteIsAdded = seconds{5};

double chance(RolloutRun &Run) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(Run.Random);
}

milliseconds randomDelay(RolloutRun &Run, int Most) {
  return milliseconds{1 +
                      std::uniform_int_distribution<int>(0, Most)(Run.Random)};
}

void schedule(RolloutRun &Run, Duration Delay,
              std::function<void(RolloutRun &)> Event) {
  Run.Events.emplace(Run.Now + Delay, std::move(Event));
}

std::string routeName(std::size_t Route) {
  return "/" + std::to_string(Route) + "/";
}

// Returns the route of the next request.
std::size_t nextRoute(RolloutRun &Run) {
  const bool Added = Run.Options.Behaviour == NewVersion::FailsOnAddedRoute &&
                     Run.Now - Run.Start > UntilRouteIsAdded &&
                     Run.Random() % 3 == 0;
  return Added ? Run.Options.Routes : Run.Random() % Run.Options.Routes;
}

struct Response {
  bool Failed = false;
  bool Faulty = false;
  Duration Latency{0};
};

// Returns true if the new version currently shows its fault.
bool showsFault(RolloutRun &Run, std::size_t Route) {
  const bool Late = Run.Now - Run.Start > Run.Options.Length / 3;
  const bool Loaded = Run.Store.Record.Share >= 0.25;
  switch (Run.Options.Behaviour) {
  case NewVersion::Good:
  case NewVersion::GoodUnderNoise:
    return false;
  case NewVersion::Fails:
  case NewVersion::Slows:
    return true;
  case NewVersion::FailsOnOneRoute:
    return Route == 1;
  case NewVersion::FailsOnAddedRoute:
    return Route == Run.Options.Routes;
  case NewVersion::FailsHalf:
    return chance(Run) < 0.5;
  case NewVersion::FailsLate:
  case NewVersion::SlowsLate:
    return Late;
  case NewVersion::FailsUnderLoad:
  case NewVersion::SlowsUnderLoad:
    return Loaded;
  }
  return false;
}

Response responseOf(RolloutRun &Run, VersionRole Role, std::size_t Route) {
  Response Result;
  double Milliseconds =
      10.0 * std::lognormal_distribution<double>(0.0, 0.5)(Run.Random);
  // One second in ten is noisy for both versions.
  const bool Noisy = Run.Options.Behaviour == NewVersion::GoodUnderNoise &&
                     (Run.Now.time_since_epoch() / seconds{1}) % 10 == 3;
  if (Noisy) {
    Milliseconds *= 10;
    Result.Failed = chance(Run) < 0.1;
  }
  if (Role == VersionRole::New && showsFault(Run, Route)) {
    Result.Faulty = true;
    const NewVersion Kind = Run.Options.Behaviour;
    if (Kind == NewVersion::Slows || Kind == NewVersion::SlowsLate ||
        Kind == NewVersion::SlowsUnderLoad) {
      Milliseconds *= 10;
    } else {
      Result.Failed = true;
    }
  }
  Result.Latency = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Milliseconds));
  return Result;
}

void broadcastVerdict(RolloutRun &Run, const Verdict &Current);

void mergeVerdictAt(RolloutRun &Run, std::size_t Index,
                    const Verdict &Current) {
  if (joinVerdict(Run.Entries[Index].Breaker, Run.Store.Record.Id, Current)) {
    broadcastVerdict(Run, Current);
  }
}

// Pushes a verdict in the same way as configuration entries: to three random
// entry nodes and to the drivers.
void broadcastVerdict(RolloutRun &Run, const Verdict &Current) {
  for (int I = 0; I < 3; ++I) {
    const std::size_t To = Run.Random() % Run.Entries.size();
    if (chance(Run) >= Run.Options.Loss) {
      schedule(Run, randomDelay(Run, 100), [To, Current](RolloutRun &Now) {
        mergeVerdictAt(Now, To, Current);
      });
    }
  }
  for (std::size_t I = 0; I < Run.Drivers.size(); ++I) {
    if (chance(Run) >= Run.Options.Loss) {
      schedule(Run, randomDelay(Run, 100), [I, Current](RolloutRun &Now) {
        RolloutRun::Driver &To = Now.Drivers[I];
        addVerdict(To.Stats, To.Record, To.Record.Id, Current);
      });
    }
  }
}

// Delivers the record in the store to all nodes after a delay.
void broadcastRecord(RolloutRun &Run) {
  const RolloutRecord Record = Run.Store.Record;
  const auto Take = [&Run, Record](RolloutRecord &Current) {
    Run.Reverts += hasEnded(Current) && !hasEnded(Record) &&
                           Record.Revision > Current.Revision
                       ? 1
                       : 0;
    if (Record.Revision > Current.Revision) {
      Current = Record;
    }
  };
  for (std::size_t I = 0; I < Run.Entries.size(); ++I) {
    schedule(Run, randomDelay(Run, 800), [I, Take](RolloutRun &Now) {
      Take(Now.Entries[I].Record);
      beginRollout(Now.Entries[I].Breaker, Now.Entries[I].Record);
    });
  }
  for (std::size_t I = 0; I < Run.Drivers.size(); ++I) {
    schedule(Run, randomDelay(Run, 200),
             [I, Take](RolloutRun &Now) { Take(Now.Drivers[I].Record); });
  }
}

// Compare-and-swap. The writer learns the outcome by reading the record.
void write(RolloutRun &Run, const RolloutRecord &Next) {
  if (Run.Store.Down || Next.Revision != Run.Store.Record.Revision) {
    return;
  }
  if (hasEnded(Next)) {
    ++Run.Store.Ends;
    Run.Store.EndedAt = Run.Now;
  }
  Run.Store.Record = Next;
  ++Run.Store.Record.Revision;
  if (!Run.Store.LosesResponses) {
    broadcastRecord(Run);
  }
}

void request(RolloutRun &Run, std::size_t Index) {
  RolloutRun::EntryNode &Entry = Run.Entries[Index];
  const double Share = effectiveShare(Entry.Record, Entry.Breaker, Run.Now);
  const VersionRole Role =
      chance(Run) < Share ? VersionRole::New : VersionRole::Old;
  const bool IsNew = Role == VersionRole::New;
  ++(IsNew ? Run.Total.New : Run.Total.Old);
  if (Run.Store.Record.Share <= 0.05) {
    ++(IsNew ? Run.Early.New : Run.Early.Old);
  }
  if (IsNew && Run.FaultSeenAt && Run.Now > *Run.FaultSeenAt + seconds{2}) {
    ++Run.NewAfterFault;
  }
  if (IsNew && Run.Now >= Entry.Record.Deadline &&
      Entry.Record.Phase != RolloutPhase::Done) {
    ++Run.NewAfterDeadline;
  }
  const std::size_t Route = nextRoute(Run);
  const Response Result = responseOf(Run, Role, Route);
  schedule(Run, Result.Latency, [=](RolloutRun &Now) {
    if (Result.Faulty && !Now.FaultSeenAt) {
      Now.FaultSeenAt = Now.Now;
    }
    RolloutBreaker &Breaker = Now.Entries[Index].Breaker;
    if (countResponse(Breaker, routeName(Route), Role, Result.Failed,
                      Result.Latency, Now.Now)) {
      broadcastVerdict(Now, Breaker.Current);
    }
  });
}

// Sends the response statistics of an entry node to the first two drivers.
void report(RolloutRun &Run, std::size_t Index) {
  RolloutRun::EntryNode &Entry = Run.Entries[Index];
  const StatsReport Report =
      takeReport(Entry.Breaker, Entry.Record, Index + 1, 1);
  for (std::size_t I = 0; I < Run.Drivers.size(); ++I) {
    const auto Rank =
        driverRank(Run.Watchers[I].Node, Run.Watchers, Entry.Record.Id);
    if (*Rank > 1 || chance(Run) < Run.Options.Loss) {
      continue;
    }
    schedule(Run, randomDelay(Run, 50), [I, Report](RolloutRun &Now) {
      RolloutRun::Driver &To = Now.Drivers[I];
      if (Now.Now >= To.PausedUntil &&
          addReport(To.Stats, To.Record, Report, Now.Now)) {
        broadcastVerdict(Now, To.Stats.Current);
      }
    });
  }
}

void drive(RolloutRun &Run, std::size_t Index) {
  RolloutRun::Driver &Own = Run.Drivers[Index];
  if (Run.Now < Own.PausedUntil || Run.Now < Own.NextPoll) {
    return;
  }
  Own.NextPoll = Run.Now + PollPeriod;
  if (!Run.Store.Down && Run.Store.Record.Revision > Own.Record.Revision) {
    Own.Record = Run.Store.Record;
    broadcastRecord(Run);
  }
  const auto Next = advance(Own.Record, Own.Stats, Run.Now);
  if (!Next) {
    Own.DueRevision = 0;
    return;
  }
  if (Own.DueRevision != Own.Record.Revision) {
    Own.DueRevision = Own.Record.Revision;
    Own.DueAt = Run.Now;
  }
  if (shouldDrive(Run.Watchers[Index].Node, Run.Watchers, Own.Record.Id,
                  Own.DueAt, Run.Now)) {
    schedule(Run, randomDelay(Run, 300),
             [Next](RolloutRun &Now) { write(Now, *Next); });
  }
}

void randomFault(RolloutRun &Run) {
  if (Run.Options.StoreFaults) {
    Run.Store.Down = chance(Run) < 0.3;
    Run.Store.LosesResponses = chance(Run) < 0.3;
  }
  if (Run.Options.DriverFaults) {
    RolloutRun::Driver &Any = Run.Drivers[Run.Random() % Run.Drivers.size()];
    if (chance(Run) < 0.5) {
      Any.PausedUntil = Run.Now + randomDelay(Run, 8'000);
    } else {
      Any = RolloutRun::Driver{};
      Any.Record = Run.Store.Record;
    }
  }
  if (Run.Options.Operator && chance(Run) < 0.1) {
    // An operator writes a record that was read some time ago.
    if (const auto Next = rollBack(Run.Store.Record, "operator", Run.Now)) {
      schedule(Run, randomDelay(Run, 2'000),
               [Next](RolloutRun &Now) { write(Now, *Next); });
    }
  }
}

RolloutRun makeRun(const RolloutRunOptions &Options) {
  RolloutRun Run;
  Run.Options = Options;
  Run.Random.seed(Options.Seed);
  RolloutRecord &Record = Run.Store.Record;
  Record.Service = "stock";
  Record.Id = "move-" + std::to_string(Options.Seed);
  Record.Start = Run.Now + seconds{1};
  Record.Deadline = Run.Now + Options.Length;
  Record.Revision = 1;
  Run.Entries.resize(Options.EntryNodes);
  for (RolloutRun::EntryNode &Entry : Run.Entries) {
    Entry.Record = Record;
    beginRollout(Entry.Breaker, Record);
  }
  Run.Drivers.resize(4);
  for (std::size_t I = 0; I < Run.Drivers.size(); ++I) {
    Run.Drivers[I].Record = Record;
    Member Watcher;
    Watcher.Node = hashOf(Record.Id, I);
    Run.Watchers.push_back(Watcher);
  }
  return Run;
}

} // namespace

RolloutRun runRollout(const RolloutRunOptions &Options) {
  RolloutRun Run = makeRun(Options);
  const TimePoint End = Run.Start + Options.Length + seconds{20};
  TimePoint NextReport = Run.Now;
  TimePoint NextFault = Run.Now;
  for (; Run.Now < End; Run.Now += Step) {
    while (!Run.Events.empty() && Run.Events.begin()->first <= Run.Now) {
      const auto Event = Run.Events.extract(Run.Events.begin());
      Event.mapped()(Run);
    }
    const double Due =
        Options.Rate * std::chrono::duration<double>(Step).count();
    for (std::size_t I = 0; I < Run.Entries.size(); ++I) {
      const int Count = std::poisson_distribution<int>(Due)(Run.Random);
      for (int J = 0; J < Count; ++J) {
        request(Run, I);
      }
    }
    if (Run.Now >= NextReport) {
      NextReport = Run.Now + ReportPeriod;
      for (std::size_t I = 0; I < Run.Entries.size(); ++I) {
        report(Run, I);
      }
    }
    if (Run.Now >= NextFault) {
      NextFault = Run.Now + seconds{3};
      randomFault(Run);
    }
    // The store is available again for the last seconds, so that the rollout
    // can end.
    if (Run.Now > Run.Start + Options.Length) {
      Run.Store.Down = Run.Store.LosesResponses = false;
    }
    for (std::size_t I = 0; I < Run.Drivers.size(); ++I) {
      drive(Run, I);
    }
  }
  return Run;
}

} // namespace magnolia::policy::test
