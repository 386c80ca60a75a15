#include "policy/admission/admit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::seconds(100)};

// Server that says itself when it is cold, as on the platform.
AdmissionState server(std::uint32_t Slots) {
  AdmissionState State;
  State.Options = {.Slots = Slots,
                   .AnnouncesCold = true,
                   .ColdPerSecond = 19,
                   .RepeatRatio = 0.15,
                   .RepeatSlack = 4,
                   .SlowPercent = 250,
                   .MaxWaiting = 4};
  State.Latency = milliseconds(100);
  return State;
}

AdmissionQuery query(TimePoint Now, std::uint32_t Priority = 1,
                     bool HasChoice = false) {
  return {.Deadline = Now + milliseconds(1000),
          .Objective = Now + milliseconds(500),
          .Priority = Priority,
          .HasChoice = HasChoice};
}

// Guards against a server that comes back cold and gets the whole load at once:
// 100 requests a second for three seconds, at any window of a second.
TEST(LoadPatterns, ColdReturnStaysUnderItsRate) {
  AdmissionState State = server(12);
  onColdLeft(State, std::chrono::seconds(3), Start);
  std::vector<TimePoint> Sent;
  for (int I = 0; I < 300; ++I) {
    const TimePoint Now = Start + milliseconds(10 * I);
    if (admit(State, query(Now), Now).Action == AdmissionAction::Run) {
      Sent.push_back(Now);
      (void)complete(State, {.Latency = milliseconds(1)}, Now);
    }
  }
  for (const TimePoint From : Sent) {
    const auto InSecond =
        std::count_if(Sent.begin(), Sent.end(), [From](TimePoint Other) {
          return Other >= From && Other < From + std::chrono::seconds(1);
        });
    EXPECT_LE(InSecond, 19);
  }
  EXPECT_GE(Sent.size(), 3U * 18U);
  const TimePoint Warm = Start + std::chrono::seconds(4);
  for (int I = 0; I < 12; ++I) {
    EXPECT_EQ(admit(State, query(Warm), Warm).Action, AdmissionAction::Run);
  }
}

// Guards against a factor on the cold rate that is not applied, or applied to
// single requests instead of every window of a second.
TEST(LoadPatterns, ColdReturnUsesTheFactorOnTheRate) {
  AdmissionState State = server(12);
  State.Options.ColdPerSecond = 16;
  State.Options.ColdFactor = 1.25;
  onColdLeft(State, std::chrono::seconds(3), Start);
  int Sent = 0;
  for (int I = 0; I < 100; ++I) {
    const TimePoint Now = Start + milliseconds(10 * I);
    if (admit(State, query(Now), Now).Action == AdmissionAction::Run) {
      ++Sent;
      (void)complete(State, {.Latency = milliseconds(1)}, Now);
    }
  }
  EXPECT_EQ(Sent, 20);
}

// Guards against clients that repeat at once and often: repeats stay within
// their part of the first arrivals.
TEST(LoadPatterns, RetryAbuseStaysWithinTheBudget) {
  AdmissionState State = server(12);
  int Repeats = 0;
  for (int I = 0; I < 400; ++I) {
    const TimePoint Now = Start + milliseconds(10 * I);
    AdmissionQuery Query = query(Now);
    Query.Repeat = I % 2 == 1;
    if (admit(State, Query, Now).Action == AdmissionAction::Run) {
      Repeats += Query.Repeat ? 1 : 0;
      (void)complete(State, {.Latency = milliseconds(1)}, Now);
    }
  }
  EXPECT_LE(Repeats, 200 * 0.15 + 4);
  EXPECT_GE(Repeats, 200 * 0.15);
}

// Guards against a burst of less urgent requests that keeps an urgent one, or a
// call of a running request, from the next free slot.
TEST(LoadPatterns, BurstLetsTheUrgentGoFirst) {
  AdmissionState State = server(1);
  ASSERT_EQ(admit(State, query(Start), Start).Action, AdmissionAction::Run);
  const auto Browse = admit(State, query(Start, 3), Start);
  const auto Order = admit(State, query(Start, 1), Start);
  const auto Call = admit(State, query(Start, 0), Start);
  ASSERT_EQ(Browse.Action, AdmissionAction::Wait);
  const TimePoint Later = Start + milliseconds(50);
  std::vector<Ticket> Granted;
  for (int I = 0; I < 3; ++I) {
    for (const Ticket Id :
         complete(State, {.Latency = milliseconds(50)}, Later)) {
      Granted.push_back(Id);
    }
  }
  EXPECT_EQ(Granted, (std::vector<Ticket>{Call.Id, Order.Id, Browse.Id}));
}

// Guards against a full queue of less urgent requests that shuts an urgent one
// out: the last of them is rejected instead.
TEST(LoadPatterns, FullQueueGivesWayToTheUrgent) {
  AdmissionState State = server(1);
  State.Latency = milliseconds(10);
  ASSERT_EQ(admit(State, query(Start), Start).Action, AdmissionAction::Run);
  for (int I = 0; I < 4; ++I) {
    ASSERT_EQ(admit(State, query(Start, 3), Start).Action,
              AdmissionAction::Wait);
  }
  EXPECT_EQ(admit(State, query(Start, 3), Start).Action,
            AdmissionAction::Refuse);
  EXPECT_EQ(admit(State, query(Start, 0), Start).Action, AdmissionAction::Wait);
  EXPECT_EQ(expire(State, Start).size(), 1U);
}

// Guards against requests that meet a slow spell although another server is at
// its usual speed, and against a spell that is believed for too long.
TEST(LoadPatterns, SlowSpellPassesRequestsOn) {
  AdmissionState State = server(12);
  onWorkTime(State, 400, Start);
  const AdmissionDecision Passed = admit(State, query(Start, 1, true), Start);
  EXPECT_EQ(Passed.Action, AdmissionAction::Refuse);
  EXPECT_EQ(Passed.Kind, ErrorKind::SlowInstance);
  // The last server takes the request.
  EXPECT_EQ(admit(State, query(Start), Start).Action, AdmissionAction::Run);
  const TimePoint Later = Start + milliseconds(151);
  EXPECT_EQ(admit(State, query(Later, 1, true), Later).Action,
            AdmissionAction::Run);
  // Twice the usual time, as in a cold start of all, is no spell.
  onWorkTime(State, 200, Later);
  EXPECT_EQ(admit(State, query(Later, 1, true), Later).Action,
            AdmissionAction::Run);
}

// Guards against a wait in a slow spell that cannot end in time: it is rejected
// at once, not after the wait.
TEST(LoadPatterns, SlowSpellShortensTheQueue) {
  AdmissionState State = server(1);
  ASSERT_EQ(admit(State, query(Start), Start).Action, AdmissionAction::Run);
  AdmissionState Slow = State;
  onWorkTime(Slow, 400, Start);
  EXPECT_EQ(admit(State, query(Start), Start).Action, AdmissionAction::Wait);
  EXPECT_EQ(admit(Slow, query(Start), Start).Action, AdmissionAction::Refuse);
}

} // namespace
} // namespace magnolia::policy
