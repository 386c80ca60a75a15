#include "policy/hedge/replay.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

using namespace test;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr HedgeOptions FivePercent{.Percent = 5};

// Work of 80 to 120 ms.
Duration usualWork(RandomEngine &Random) {
  return milliseconds(80 + static_cast<int>(Random() % 41));
}

TimePoint at(Duration Time) { return TimePoint{} + Time; }

// The hedges of each window of 10 s that begins with a hedge, the worst ones,
// are at most the percentage of the requests of the same window and one more.
void expectWithinLimit(const Replay &Run, std::uint32_t Percent) {
  for (std::size_t First = 0; First < Run.HedgesAt.size(); ++First) {
    const auto CountIn = [&](const std::vector<TimePoint> &Times) {
      return std::count_if(Times.begin(), Times.end(), [&](TimePoint Time) {
        return Time >= Run.HedgesAt[First] &&
               Time < Run.HedgesAt[First] + seconds(10);
      });
    };
    ASSERT_LE(CountIn(Run.HedgesAt) * 100,
              CountIn(Run.RequestsAt) * Percent + 100);
  }
}

// Each second another one of 16 servers runs four times slower for 300 ms.
Replay oneServerSlow(HedgeOptions Hedge, std::uint64_t Seed) {
  return Replay(
      {.Hedge = Hedge,
       .Servers = 16,
       .Between = milliseconds(20),
       .Length = seconds(60),
       .Seed = Seed,
       .Takes = [](std::size_t Server, TimePoint Now, RandomEngine &Random) {
         const Duration Time = Now.time_since_epoch();
         const auto Second =
             static_cast<std::size_t>(Time / Duration(seconds(1)));
         const bool Slow =
             Server == Second % 16 && Time % seconds(1) < milliseconds(300);
         return usualWork(Random) * (Slow ? 4 : 1);
       }});
}

Duration medianOf(std::vector<Duration> Lengths) {
  std::sort(Lengths.begin(), Lengths.end());
  return Lengths.at(Lengths.size() / 2);
}

// Guards against requests that wait for a server that is slow for 300 ms while
// others are free. The 99th percentile of one run rests on 24 requests, so the
// median over several runs is compared.
TEST(HedgePatterns, OneServerSlowFor300Ms) {
  constexpr std::uint64_t Seeds = 15;
  std::vector<Duration> WithoutHedges;
  std::vector<Duration> WithHedges;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Replay Plain = oneServerSlow({}, Seed);
    Replay Hedged = oneServerSlow(FivePercent, Seed);
    Plain.run();
    Hedged.run();
    WithoutHedges.push_back(Plain.within(0.99, at(seconds(12))));
    WithHedges.push_back(Hedged.within(0.99, at(seconds(12))));
    expectWithinLimit(Hedged, 5);
    EXPECT_TRUE(Hedged.allSlotsFree());
  }
  EXPECT_GT(medianOf(WithoutHedges), milliseconds(320));
  EXPECT_LT(medianOf(WithHedges), milliseconds(300));
}

// Guards against hedges that start only when the first slice of response times
// has settled, 10 s after the first request.
TEST(HedgePatterns, FirstSecondsAreHedged) {
  const auto Make = [](HedgeOptions Hedge) {
    return Replay({.Hedge = Hedge,
                   .Length = seconds(10),
                   .Takes = [](std::size_t, TimePoint, RandomEngine &Random) {
                     const bool Long = Random() % 100 < 3;
                     return usualWork(Random) * (Long ? 7 : 1);
                   }});
  };
  Replay Plain = Make({});
  Replay Hedged = Make(FivePercent);
  Plain.run();
  Hedged.run();
  EXPECT_GT(Plain.within(0.98, at(seconds(2))), milliseconds(500));
  EXPECT_LT(Hedged.within(0.98, at(seconds(2))), milliseconds(300));
  ASSERT_FALSE(Hedged.HedgesAt.empty());
  // Requests start at 1 s, and 50 response times take half a second.
  EXPECT_LT(Hedged.HedgesAt.front(), at(milliseconds(2500)));
  expectWithinLimit(Hedged, 5);
}

// Guards against hedges that keep a service slow that becomes slow as a whole
// before any response time has settled.
TEST(HedgePatterns, WholeServiceSlowAtTheStartGetsNoHedges) {
  Replay Run({.Hedge = {.Percent = 20},
              .Length = seconds(10),
              .Takes = [](std::size_t, TimePoint Now, RandomEngine &Random) {
                const bool Slow = Now > at(seconds(4)) && Now < at(seconds(7));
                return usualWork(Random) * (Slow ? 3 : 1);
              }});
  Run.run();
  const auto WhileSlow = std::count_if(
      Run.HedgesAt.begin(), Run.HedgesAt.end(), [](TimePoint Time) {
        return Time > at(seconds(4)) && Time < at(seconds(7));
      });
  EXPECT_LE(WhileSlow, 10);
  expectWithinLimit(Run, 20);
}

// Guards against a tail that consists of the 3 in 100 runs that take seven
// times as long.
TEST(HedgePatterns, ThreeInHundredTakeSevenTimesAsLong) {
  const auto Make = [](HedgeOptions Hedge) {
    return Replay({.Hedge = Hedge,
                   .Takes = [](std::size_t, TimePoint, RandomEngine &Random) {
                     const bool Long = Random() % 100 < 3;
                     return usualWork(Random) * (Long ? 7 : 1);
                   }});
  };
  Replay Plain = Make({});
  Replay Hedged = Make(FivePercent);
  Plain.run();
  Hedged.run();
  EXPECT_GT(Plain.within(0.98, at(seconds(12))), milliseconds(500));
  EXPECT_LT(Hedged.within(0.98, at(seconds(12))), milliseconds(300));
  expectWithinLimit(Hedged, 5);
  EXPECT_TRUE(Hedged.allSlotsFree());
}

// Guards against hedges that add load to a service that is slow as a whole, so
// that it stays slow.
TEST(HedgePatterns, WholeServiceSlowGetsNoHedges) {
  Replay Run({.Hedge = {.Percent = 20},
              .Takes = [](std::size_t, TimePoint Now, RandomEngine &Random) {
                const bool Slow =
                    Now > at(seconds(15)) && Now < at(seconds(20));
                return usualWork(Random) * (Slow ? 3 : 1);
              }});
  Run.run();
  const auto WhileSlow = std::count_if(
      Run.HedgesAt.begin(), Run.HedgesAt.end(), [](TimePoint Time) {
        return Time > at(seconds(15)) && Time < at(seconds(20));
      });
  // The first late requests cannot be told from those of one slow server.
  EXPECT_LE(WhileSlow, 10);
}

// Guards against hedges that take the last slots of a service, whose servers
// slow down when most of their slots are taken.
TEST(HedgePatterns, ServiceWithoutFreeCapacityGetsNoHedges) {
  Replay Run({.Hedge = {.Percent = 20, .Quantile = 80},
              .Between = std::chrono::microseconds(1900),
              .Takes = [](std::size_t, TimePoint, RandomEngine &Random) {
                return usualWork(Random) * (Random() % 10 < 2 ? 3 : 1);
              }});
  Run.run();
  EXPECT_LE(Run.HedgesAt.size(), Run.RequestsAt.size() / 200);
}

// Guards against more extra requests than the operators permit while far more
// requests are late.
TEST(HedgePatterns, ExhaustedLimitHolds) {
  for (const std::uint16_t Percent : {1, 5, 20}) {
    Replay Run({.Hedge = {.Percent = Percent, .Quantile = 65},
                .Takes = [](std::size_t, TimePoint, RandomEngine &Random) {
                  return usualWork(Random) * (Random() % 10 < 3 ? 5 : 1);
                }});
    Run.run();
    expectWithinLimit(Run, Percent);
    EXPECT_GT(Run.Hedges.RefusedByLimit, 0U);
    EXPECT_EQ(Run.Hedges.Sent, Run.HedgesAt.size());
    // A limit that refused far more than it must would make hedging useless.
    EXPECT_GE(Run.Hedges.Sent * 100, Run.Hedges.Requests * Percent / 4);
  }
}

// Guards against a non-idempotent request that runs twice.
TEST(HedgePatterns, NonIdempotentRequestsAreNeverHedged) {
  Replay Run({.Hedge = {.Percent = 20},
              .Idempotent = false,
              .Takes = [](std::size_t, TimePoint, RandomEngine &Random) {
                return usualWork(Random) * (Random() % 10 == 0 ? 5 : 1);
              }});
  Run.run();
  EXPECT_TRUE(Run.HedgesAt.empty());
}

} // namespace
} // namespace magnolia::policy
