#include "policy/admission/admit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::seconds(100)};

// Server that announces its cold start, as on the platform.
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

// Guards against a cold server that gets the full load after its return. At 100
// requests per second for three seconds, no window of one second may exceed the
// rate of a cold server.
TEST(LoadPatterns, ColdServerStaysWithinItsRate) {
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

// Guards against a factor on the cold rate that is not applied, or that is
// applied to single requests instead of each window of one second.
TEST(LoadPatterns, ColdServerUsesTheFactorOnTheRate) {
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

// Guards against clients that retry at once and often: retries stay within
// their share of the first attempts.
TEST(LoadPatterns, RetriesStayWithinTheBudget) {
  AdmissionState State = server(12);
  int Retries = 0;
  for (int I = 0; I < 400; ++I) {
    const TimePoint Now = Start + milliseconds(10 * I);
    AdmissionQuery Query = query(Now);
    Query.Repeat = I % 2 == 1;
    if (admit(State, Query, Now).Action == AdmissionAction::Run) {
      Retries += Query.Repeat ? 1 : 0;
      (void)complete(State, {.Latency = milliseconds(1)}, Now);
    }
  }
  EXPECT_LE(Retries, 200 * 0.15 + 4);
  EXPECT_GE(Retries, 200 * 0.15);
}

// Guards against a burst of low-priority requests that delays a high-priority
// one, or a call made by a running request, beyond the next free slot.
TEST(LoadPatterns, BurstIsServedByPriority) {
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

// Guards against a high-priority request that is rejected because low-priority
// requests fill the queue. The last of these is rejected instead.
TEST(LoadPatterns, FullQueueAcceptsHigherPriority) {
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

// Guards against requests that run during a slowdown although another server
// has its usual speed, and against a slowdown that is assumed for too long.
TEST(LoadPatterns, SlowServerRejectsRequestsWithAChoice) {
  AdmissionState State = server(12);
  onWorkTime(State, 400, Start);
  const AdmissionDecision Rejected = admit(State, query(Start, 1, true), Start);
  EXPECT_EQ(Rejected.Action, AdmissionAction::Refuse);
  EXPECT_EQ(Rejected.Kind, ErrorKind::SlowInstance);
  // The last server accepts the request.
  EXPECT_EQ(admit(State, query(Start), Start).Action, AdmissionAction::Run);
  const TimePoint Later = Start + milliseconds(151);
  EXPECT_EQ(admit(State, query(Later, 1, true), Later).Action,
            AdmissionAction::Run);
  // Twice the usual time, as in a cold start of all servers, is not a slowdown.
  onWorkTime(State, 200, Later);
  EXPECT_EQ(admit(State, query(Later, 1, true), Later).Action,
            AdmissionAction::Run);
}

// Guards against a request that is rejected only after waiting, although during
// a slowdown it cannot get a slot in time. It is rejected at once.
TEST(LoadPatterns, SlowServerRejectsWaitsBeyondTheObjective) {
  AdmissionState State = server(1);
  ASSERT_EQ(admit(State, query(Start), Start).Action, AdmissionAction::Run);
  AdmissionState Slow = State;
  onWorkTime(Slow, 400, Start);
  EXPECT_EQ(admit(State, query(Start), Start).Action, AdmissionAction::Wait);
  EXPECT_EQ(admit(Slow, query(Start), Start).Action, AdmissionAction::Refuse);
}

} // namespace
} // namespace magnolia::policy
