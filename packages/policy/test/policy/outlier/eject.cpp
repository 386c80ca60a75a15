#include "policy/outlier/eject.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::seconds(1)};

struct EvidenceCase {
  const char *Guards;
  LatencyEvidence Evidence;
  bool Slow;
  bool Overdue;
};

constexpr Duration Median = milliseconds(5);

const EvidenceCase Cases[] = {
    {"an ejection without a median to compare with",
     {.Latency = milliseconds(90),
      .Samples = 9,
      .Open = 9,
      .OpenAges = milliseconds(900)},
     false,
     false},
    {"an ejection on one slow response",
     {.Latency = milliseconds(90), .Samples = 1, .Median = Median},
     false,
     false},
    {"a tenfold slowdown that stays",
     {.Latency = milliseconds(50), .Samples = 8, .Median = Median},
     true,
     false},
    {"an ejection for a noisy neighbour and a short queue",
     {.Latency = milliseconds(25), .Samples = 8, .Median = Median},
     false,
     false},
    {"an ejection for scheduling noise",
     {.Latency = milliseconds(3), .Samples = 8, .Median = Duration(100'000)},
     false,
     false},
    {"an ejection on the word of a report alone",
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
    {"a stuck single request",
     {.Open = 1, .OpenAges = milliseconds(80), .Median = Median},
     false,
     true},
    {"an ejection for a usual long request",
     {.Open = 1, .OpenAges = milliseconds(50), .Median = Median},
     false,
     false},
    {"many requests that are all late",
     {.Open = 8, .OpenAges = milliseconds(200), .Median = Median},
     false,
     true},
    {"a probe that a silent node never answers",
     {.ProbeAge = milliseconds(31), .Median = Median},
     false,
     true},
};

TEST(Outlier, Evidence) {
  const OutlierOptions Options;
  for (const EvidenceCase &Row : Cases) {
    SCOPED_TRACE(Row.Guards);
    EXPECT_EQ(isSlow(Row.Evidence, Options), Row.Slow);
    EXPECT_EQ(isOverdue(Row.Evidence, Options), Row.Overdue);
  }
}

// Guards against the ejection of a candidate for faults that its peers share.
TEST(Outlier, SharedFailuresAreNoOutlier) {
  const OutlierOptions Options;
  HealthState Health;
  for (int I = 0; I < 3; ++I) {
    EXPECT_FALSE(isFailing(Health, 0, Options));
    recordResult(Health, true);
  }
  EXPECT_TRUE(isFailing(Health, 0, Options));
  EXPECT_FALSE(isFailing(Health, 0.5, Options));
}

// Guards against trials that come ever as often, and against a back-off
// without end.
TEST(Outlier, BackOffDoublesUpToItsLimit) {
  const OutlierOptions Options;
  HealthState Health;
  TimePoint Now = Start;
  for (int I = 0; I < 12; ++I) {
    eject(Health, Options, Now);
    const Duration Wait = Health.Until - Now;
    EXPECT_GE(Wait, Health.BackOff * 3 / 4);
    EXPECT_LE(Wait, Health.BackOff * 5 / 4);
    EXPECT_FALSE(isTrialDue(Health, Now));
    EXPECT_TRUE(isTrialDue(Health, Health.Until));
    Now = Health.Until;
  }
  EXPECT_EQ(Health.BackOff, Options.MaxBackOff);
}

// Guards against fewer than half of the candidates eligible.
TEST(Outlier, MinimumShare) {
  EXPECT_FALSE(mayEject(1, 0));
  EXPECT_TRUE(mayEject(2, 0));
  EXPECT_FALSE(mayEject(3, 1));
  EXPECT_TRUE(mayEject(4, 1));
  EXPECT_FALSE(mayEject(4, 2));
}

} // namespace
} // namespace magnolia::policy
