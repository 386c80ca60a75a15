#include "policy/admission/admit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;
using Random = std::mt19937_64;

constexpr TimePoint Start{std::chrono::seconds(100)};
constexpr Duration Work = milliseconds(100);

// Requests of one organisation, all with one priority.
struct Demand {
  std::string Organisation;
  double PerSecond = 0;
  std::uint32_t Priority = 1;
};

struct Service {
  std::uint32_t Offered = 0;
  std::uint32_t Served = 0;

  [[nodiscard]] double ratio() const {
    return Offered == 0 ? 0 : static_cast<double>(Served) / Offered;
  }
};

// Replays the demands at one server for a minute of virtual time.
class Replay {
public:
  Replay(double Share, std::uint64_t Seed) : Engine(Seed) {
    State.Options = {.Slots = 10, .AnnouncesCold = true, .MaxWaiting = 12};
    State.Latency = Work;
    State.Shares.Share = Share;
    State.Shares.Seed = Seed;
  }

  std::map<std::string, Service> run(const std::vector<Demand> &Demands) {
    std::vector<double> Rates;
    double Rate = 0;
    for (const Demand &Next : Demands) {
      Rates.push_back(Next.PerSecond);
      Rate += Next.PerSecond;
    }
    std::discrete_distribution<std::size_t> Which(Rates.begin(), Rates.end());
    std::exponential_distribution<double> Gap(Rate);
    const TimePoint End = Start + std::chrono::minutes(1);
    for (TimePoint Now = Start; Now < End;) {
      Now += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Gap(Engine)));
      endRuns(Now);
      arrive(Demands[Which(Engine)], Now);
    }
    return std::move(Results);
  }

private:
  void endRuns(TimePoint Now) {
    while (!Ends.empty() && Ends.top() <= Now) {
      const TimePoint At = Ends.top();
      Ends.pop();
      expireWaits(At);
      for (const Ticket Id : complete(State, {.Latency = Work}, At)) {
        ++Results[Waiting.at(Id)].Served;
        Waiting.erase(Id);
        Ends.push(At + Work);
      }
    }
    expireWaits(Now);
  }

  void expireWaits(TimePoint Now) {
    for (const Expiry &Ended : expire(State, Now)) {
      Waiting.erase(Ended.Id);
    }
  }

  void arrive(const Demand &From, TimePoint Now) {
    Service &Count = Results[From.Organisation];
    ++Count.Offered;
    const auto Decision = admit(State,
                                {.Deadline = Now + milliseconds(2000),
                                 .Objective = Now + milliseconds(500),
                                 .Priority = From.Priority,
                                 .Organisation = From.Organisation},
                                Now);
    if (Decision.Action == AdmissionAction::Run) {
      ++Count.Served;
      Ends.push(Now + Work);
    } else if (Decision.Action == AdmissionAction::Wait) {
      Waiting[Decision.Id] = From.Organisation;
    }
  }

  AdmissionState State;
  Random Engine;
  std::map<std::string, Service> Results;
  std::map<Ticket, std::string> Waiting;
  std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> Ends;
};

// Lowest ratio of an organisation over that of all.
double lowestShare(const std::map<std::string, Service> &Results) {
  Service All;
  for (const auto &[Name, Count] : Results) {
    All.Offered += Count.Offered;
    All.Served += Count.Served;
  }
  double Lowest = 1;
  for (const auto &[Name, Count] : Results) {
    Lowest = std::min(Lowest, Count.ratio() / All.ratio());
  }
  return Lowest;
}

// 84 organisations, a few of them large, at 1.6 times the capacity. Two use
// only routes of the lowest rank.
std::vector<Demand> crowd(double LowLarge) {
  constexpr int Small = 80;
  std::vector<Demand> Demands;
  Demands.reserve(Small + 4);
  for (int Number = 0; Number < Small; ++Number) {
    Demands.push_back(
        {std::string("small-").append(std::to_string(Number)), 1, 1});
  }
  Demands.push_back({"large-1", 40, 1});
  Demands.push_back({"large-2", 36 - LowLarge, 2});
  Demands.push_back({"low-small", 4, 3});
  Demands.push_back({"low-large", LowLarge, 3});
  return Demands;
}

// Guards against an organisation that is hardly served in an overload because
// all its requests have the lowest rank.
TEST(FairShare, EachOrganisationIsServedAQuarterAsOftenAsAll) {
  constexpr double Quarter = 0.25;
  for (const double LowLarge : {2.0, 15.0, 30.0}) {
    for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
      const auto Demands = crowd(LowLarge);
      EXPECT_GE(lowestShare(Replay(FairShare{}.Share, Seed).run(Demands)),
                Quarter)
          << LowLarge << " " << Seed;
      EXPECT_LT(lowestShare(Replay(0, Seed).run(Demands)), Quarter)
          << LowLarge << " " << Seed;
    }
  }
}

// Guards against a small organisation whose few requests at each of many
// servers are all rejected before one server notices that it is behind.
TEST(FairShare, FewRequestsAtEachServerAreEnough) {
  constexpr double Quarter = 0.25;
  for (const double Share : {FairShare{}.Share, 0.0}) {
    Service Small;
    Service All;
    for (std::uint64_t Server = 1; Server <= 48; ++Server) {
      for (const auto &[Name, Count] :
           Replay(Share, Server).run({{"large", 160, 1}, {"small", 0.1, 3}})) {
        All.Offered += Count.Offered;
        All.Served += Count.Served;
        Small.Offered += Name == "small" ? Count.Offered : 0;
        Small.Served += Name == "small" ? Count.Served : 0;
      }
    }
    EXPECT_EQ(Small.ratio() >= Quarter * All.ratio(), Share > 0)
        << Small.Served << " of " << Small.Offered;
  }
}

// Guards against shares that change decisions where no organisations are
// configured: over random loads they are those of a sidecar without shares.
TEST(FairShare, WithoutOrganisationsNothingChanges) {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    Random Engine(Seed);
    std::vector<Demand> Demands;
    for (std::uint32_t Rank = 1; Rank <= 3; ++Rank) {
      Demands.push_back({"", 10.0 + static_cast<double>(Engine() % 90), Rank});
    }
    const auto On = Replay(FairShare{}.Share, Seed).run(Demands);
    const auto Off = Replay(0, Seed).run(Demands);
    ASSERT_EQ(On.size(), 1U);
    EXPECT_EQ(On.at("").Offered, Off.at("").Offered);
    EXPECT_EQ(On.at("").Served, Off.at("").Served);
  }
}

// Guards against a table that grows with the names that requests state.
TEST(FairShare, TableIsBounded) {
  FairShare Shares;
  for (std::size_t Number = 0; Number < 3 * MaxOrganisations; ++Number) {
    recordShare(Shares, std::string("o").append(std::to_string(Number)),
                ShareOutcome::Unserved);
  }
  EXPECT_LE(Shares.Credits.size(), MaxOrganisations);
  EXPECT_GT(Shares.Refused, 0U);
  const std::size_t Before = Shares.Credits.size();
  recordShare(Shares, "o1", ShareOutcome::Served);
  EXPECT_EQ(Shares.Credits.size(), Before - 1);
}

} // namespace
} // namespace magnolia::policy
