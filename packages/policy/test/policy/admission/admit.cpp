#include "policy/admission/admit.h"

#include <gtest/gtest.h>

#include <functional>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::seconds(1)};
constexpr TimePoint Far = TimePoint::max();

AdmissionState warm() {
  AdmissionState State;
  State.Options = {.Slots = 2, .MaxWaiting = 2};
  State.Ramp = 2;
  return State;
}

void fill(AdmissionState &State, int Count) {
  for (int I = 0; I < Count; ++I) {
    (void)admit(State, {.Deadline = Far}, Start);
  }
}

struct AdmitCase {
  const char *Guards;
  std::function<void(AdmissionState &)> Prepare;
  TimePoint Deadline;
  AdmissionAction Action;
  ErrorKind Kind;
};

const AdmitCase Cases[] = {
    {"an idle server that refuses", [](AdmissionState &) {}, Far,
     AdmissionAction::Run, ErrorKind::Internal},
    {"more requests than slots", [](AdmissionState &State) { fill(State, 2); },
     Far, AdmissionAction::Wait, ErrorKind::Internal},
    {"a queue without bound", [](AdmissionState &State) { fill(State, 4); },
     Far, AdmissionAction::Refuse, ErrorKind::Overloaded},
    {"work after the deadline", [](AdmissionState &) {}, Start,
     AdmissionAction::Refuse, ErrorKind::DeadlineExceededNotRun},
    {"waiting past the deadline",
     [](AdmissionState &State) {
       fill(State, 2);
       State.Latency = milliseconds(10);
     },
     Start + milliseconds(3), AdmissionAction::Refuse, ErrorKind::Overloaded},
    {"new work for a leaving server",
     [](AdmissionState &State) { drain(State); }, Far, AdmissionAction::Refuse,
     ErrorKind::Draining},
    {"full load after a restart",
     [](AdmissionState &State) {
       onBackendIncarnation(State, 2, Start);
       fill(State, 3);
     },
     Far, AdmissionAction::Refuse, ErrorKind::ColdStart},
    {"full load after a refused connection",
     [](AdmissionState &State) {
       onConnectFailure(State, Start);
       fill(State, 1);
     },
     Far, AdmissionAction::Wait, ErrorKind::Internal},
};

TEST(Admit, Faults) {
  for (const AdmitCase &Row : Cases) {
    SCOPED_TRACE(Row.Guards);
    AdmissionState State = warm();
    Row.Prepare(State);
    const AdmissionDecision Next =
        admit(State, {.Deadline = Row.Deadline}, Start);
    EXPECT_EQ(Next.Action, Row.Action);
    if (Row.Action == AdmissionAction::Refuse) {
      EXPECT_EQ(Next.Kind, Row.Kind);
      EXPECT_EQ(errorEntry(Next.Kind).Run, RunOutcome::No);
    }
  }
}

// Guards against a waiting request that is both run and rejected, or neither.
TEST(Admit, WaitersLeaveOnce) {
  AdmissionState State = warm();
  fill(State, 4);
  const TimePoint Late = Start + State.Options.MaxWait;
  EXPECT_EQ(nextExpiry(State), Late);
  EXPECT_TRUE(complete(State, {.Latency = milliseconds(1)}, Late).empty());
  EXPECT_EQ(expire(State, Late).size(), 2U);
  EXPECT_TRUE(expire(State, Late).empty());
  EXPECT_EQ(State.InFlight, 1U);
}

// Guards against a queue that is served out of order or leaks slots.
TEST(Admit, CompleteHandsOverTheSlot) {
  AdmissionState State = warm();
  fill(State, 4);
  EXPECT_EQ(complete(State, {.Latency = milliseconds(1)}, Start),
            std::vector<Ticket>{1});
  EXPECT_TRUE(abandon(State, 2));
  EXPECT_FALSE(abandon(State, 2));
  EXPECT_TRUE(complete(State, {.Latency = milliseconds(1)}, Start).empty());
  EXPECT_EQ(loadReport(State).InFlight, 1U);
}

// Runs one request at a time for a length of time.
void work(AdmissionState &State, Duration Each, Duration Total,
          TimePoint &Now) {
  for (const TimePoint End = Now + Total; Now < End;) {
    const std::uint32_t Count = limit(State);
    fill(State, static_cast<int>(Count));
    State.BusySince = Now;
    Now += Each;
    for (std::uint32_t I = 0; I < Count; ++I) {
      (void)complete(State, {.Latency = Each}, Now);
    }
  }
}

// Guards against a ramp that grows while the server is idle, skips steps, or
// never ends.
TEST(Admit, RampFollowsWork) {
  AdmissionState State;
  TimePoint Now = Start;
  EXPECT_EQ(limit(State), 1U);
  Now += std::chrono::hours(1);
  work(State, milliseconds(5), milliseconds(350), Now);
  EXPECT_EQ(limit(State), 1U);
  work(State, milliseconds(5), milliseconds(100), Now);
  EXPECT_EQ(limit(State), 2U);
  work(State, milliseconds(5), std::chrono::seconds(6), Now);
  EXPECT_EQ(limit(State), State.Options.Slots);
  EXPECT_FALSE(loadReport(State).ColdStart);
}

// Guards against a silent cold start: the latency jumps without a restart.
TEST(Admit, LatencyJumpStartsTheRampAgain) {
  AdmissionState State = warm();
  TimePoint Now = Start;
  work(State, milliseconds(5), std::chrono::seconds(1), Now);
  EXPECT_EQ(limit(State), 2U);
  work(State, milliseconds(50), milliseconds(500), Now);
  EXPECT_EQ(State.Resets, 1U);
  EXPECT_TRUE(loadReport(State).ColdStart);
}

// Guards against a ramp that grows on errors.
TEST(Admit, FailuresHoldTheRamp) {
  AdmissionState State;
  TimePoint Now = Start;
  for (int I = 0; I < 1000; ++I) {
    (void)admit(State, {.Deadline = Far}, Now);
    Now += milliseconds(5);
    (void)complete(State, {.Latency = milliseconds(5), .Failed = true}, Now);
  }
  EXPECT_EQ(limit(State), 1U);
}

} // namespace
} // namespace magnolia::policy
