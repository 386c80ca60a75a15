#include "policy/outlier/eject.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::seconds(1)};

struct LatencyCase {
  const char *Guards;
  LatencyStats Stats;
  bool Slow;
  bool Overdue;
};

constexpr Duration Median = milliseconds(5);

const LatencyCase Cases[] = {
    {"an ejection without a median to compare with",
     {.Latency = milliseconds(90),
      .Samples = 9,
      .Open = 9,
      .OpenAges = milliseconds(900)},
     false,
     false},
    {"an ejection because of one slow response",
     {.Latency = milliseconds(90), .Samples = 1, .Median = Median},
     false,
     false},
    {"a lasting tenfold slowdown",
     {.Latency = milliseconds(50), .Samples = 8, .Median = Median},
     true,
     false},
    {"an ejection because of a noisy neighbour and a short queue",
     {.Latency = milliseconds(25), .Samples = 8, .Median = Median},
     false,
     false},
    {"an ejection because of scheduling noise",
     {.Latency = milliseconds(3), .Samples = 8, .Median = Duration(100'000)},
     false,
     false},
    {"an ejection because of a load report alone",
     {.Latency = Median,
      .Samples = 8,
      .Reported = milliseconds(50),
      .Median = Median},
     false,
     false},
    {"a reported slowdown that measurements confirm",
     {.Latency = milliseconds(10),
      .Samples = 8,
      .Reported = milliseconds(50),
      .Median = Median},
     true,
     false},
    {"a single request without a response",
     {.Open = 1, .OpenAges = milliseconds(80), .Median = Median},
     false,
     true},
    {"an ejection because of an ordinary long request",
     {.Open = 1, .OpenAges = milliseconds(50), .Median = Median},
     false,
     false},
    {"many requests that are all overdue",
     {.Open = 8, .OpenAges = milliseconds(200), .Median = Median},
     false,
     true},
    {"a probe to a node that does not respond",
     {.ProbeAge = milliseconds(31), .Median = Median},
     false,
     true},
};

TEST(Outlier, Stats) {
  const OutlierOptions Options;
  for (const LatencyCase &Row : Cases) {
    SCOPED_TRACE(Row.Guards);
    EXPECT_EQ(isSlow(Row.Stats, Options), Row.Slow);
    EXPECT_EQ(isOverdue(Row.Stats, Options), Row.Overdue);
  }
}

// Guards against the ejection of a candidate because of faults that its peers
// share.
TEST(Outlier, SharedFailuresDoNotEject) {
  const OutlierOptions Options;
  HealthState Health;
  for (int I = 0; I < 3; ++I) {
    EXPECT_FALSE(isFailing(Health, 0, Options));
    recordResult(Health, true);
  }
  EXPECT_TRUE(isFailing(Health, 0, Options));
  EXPECT_FALSE(isFailing(Health, 0.5, Options));
}

// Guards against trial requests whose interval does not grow, and against an
// unbounded back-off.
TEST(Outlier, BackOffDoublesUpToItsLimit) {
  const OutlierOptions Options;
  HealthState Health;
  TimePoint Now = Start;
  for (int I = 0; I < 12; ++I) {
    eject(Health, Options, Now);
    const Duration Wait = Health.NextTrialAt - Now;
    EXPECT_GE(Wait, Health.BackOff * 3 / 4);
    EXPECT_LE(Wait, Health.BackOff * 5 / 4);
    EXPECT_FALSE(isTrialDue(Health, Now));
    EXPECT_TRUE(isTrialDue(Health, Health.NextTrialAt));
    Now = Health.NextTrialAt;
  }
  EXPECT_EQ(Health.BackOff, Options.MaxBackOff);
}

// Guards against ejections that leave fewer than half of the candidates
// eligible.
TEST(Outlier, MinimumShare) {
  EXPECT_FALSE(mayEject(1, 0));
  EXPECT_TRUE(mayEject(2, 0));
  EXPECT_FALSE(mayEject(3, 1));
  EXPECT_TRUE(mayEject(4, 1));
  EXPECT_FALSE(mayEject(4, 2));
}

} // namespace
} // namespace magnolia::policy
