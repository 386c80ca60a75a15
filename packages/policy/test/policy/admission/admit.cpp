#include "policy/admission/admit.h"

#include <gtest/gtest.h>

#include <functional>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::seconds(1)};
constexpr TimePoint NoDeadline = TimePoint::max();

AdmissionState warmState() {
  AdmissionState State;
  State.Options = {.Slots = 2, .MaxWaiting = 2};
  State.Ramp = 2;
  return State;
}

void admitRequests(AdmissionState &State, int Count) {
  for (int I = 0; I < Count; ++I) {
    (void)admit(State, {.Deadline = NoDeadline}, Start);
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
    {"an idle server that refuses", [](AdmissionState &) {}, NoDeadline,
     AdmissionAction::Run, ErrorKind::Internal},
    {"more requests than slots",
     [](AdmissionState &State) { admitRequests(State, 2); }, NoDeadline,
     AdmissionAction::Wait, ErrorKind::Internal},
    {"an unbounded queue",
     [](AdmissionState &State) { admitRequests(State, 4); }, NoDeadline,
     AdmissionAction::Refuse, ErrorKind::Overloaded},
    {"a request that runs after its deadline", [](AdmissionState &) {}, Start,
     AdmissionAction::Refuse, ErrorKind::DeadlineExceededNotRun},
    {"waiting past the deadline",
     [](AdmissionState &State) {
       admitRequests(State, 2);
       State.Latency = milliseconds(10);
     },
     Start + milliseconds(3), AdmissionAction::Refuse, ErrorKind::Overloaded},
    {"a new request for a draining server",
     [](AdmissionState &State) { drain(State); }, NoDeadline,
     AdmissionAction::Refuse, ErrorKind::Draining},
    {"a new request for a draining node after a report of its server",
     [](AdmissionState &State) {
       drainNode(State);
       State.Draining = false;
     },
     NoDeadline, AdmissionAction::Refuse, ErrorKind::Draining},
    {"a request that a stop would cut",
     [](AdmissionState &State) { beginStop(State, Start + milliseconds(2)); },
     Start + milliseconds(3), AdmissionAction::Refuse, ErrorKind::Shutdown},
    {"a request that ends before a stop and is refused",
     [](AdmissionState &State) { beginStop(State, Start + milliseconds(3)); },
     Start + milliseconds(3), AdmissionAction::Run, ErrorKind::Internal},
    {"full load after a restart",
     [](AdmissionState &State) {
       onBackendIncarnation(State, 2, Start);
       admitRequests(State, 3);
     },
     NoDeadline, AdmissionAction::Refuse, ErrorKind::ColdStart},
    {"full load after a refused connection",
     [](AdmissionState &State) {
       onConnectFailure(State, Start);
       admitRequests(State, 1);
     },
     NoDeadline, AdmissionAction::Wait, ErrorKind::Internal},
};

TEST(Admit, Faults) {
  for (const AdmitCase &Row : Cases) {
    SCOPED_TRACE(Row.Guards);
    AdmissionState State = warmState();
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
TEST(Admit, WaitersEndOnce) {
  AdmissionState State = warmState();
  admitRequests(State, 4);
  const TimePoint WaitEnd = Start + State.Options.MaxWait;
  EXPECT_EQ(nextExpiry(State), WaitEnd);
  EXPECT_TRUE(complete(State, {.Latency = milliseconds(1)}, WaitEnd).empty());
  EXPECT_EQ(expire(State, WaitEnd).size(), 2U);
  EXPECT_TRUE(expire(State, WaitEnd).empty());
  EXPECT_EQ(State.InFlight, 1U);
}

// Guards against a queue that is served out of order and against slots that are
// never freed.
TEST(Admit, CompleteHandsOverTheSlot) {
  AdmissionState State = warmState();
  admitRequests(State, 4);
  EXPECT_EQ(complete(State, {.Latency = milliseconds(1)}, Start),
            std::vector<Ticket>{1});
  EXPECT_TRUE(abandon(State, 2));
  EXPECT_FALSE(abandon(State, 2));
  EXPECT_TRUE(complete(State, {.Latency = milliseconds(1)}, Start).empty());
  EXPECT_EQ(loadReport(State).InFlight, 1U);
}

// Runs batches of limit(State) requests, each for the time Each, until Total
// has passed.
void runLoad(AdmissionState &State, Duration Each, Duration Total,
             TimePoint &Now) {
  for (const TimePoint End = Now + Total; Now < End;) {
    const std::uint32_t Count = limit(State);
    admitRequests(State, static_cast<int>(Count));
    State.BusySince = Now;
    Now += Each;
    for (std::uint32_t I = 0; I < Count; ++I) {
      (void)complete(State, {.Latency = Each}, Now);
    }
  }
}

// Guards against a ramp that grows while the server is idle, that skips steps
// or that never ends.
TEST(Admit, RampGrowsWithBusyTime) {
  AdmissionState State;
  TimePoint Now = Start;
  EXPECT_EQ(limit(State), 1U);
  Now += std::chrono::hours(1);
  runLoad(State, milliseconds(5), milliseconds(350), Now);
  EXPECT_EQ(limit(State), 1U);
  runLoad(State, milliseconds(5), milliseconds(100), Now);
  EXPECT_EQ(limit(State), 2U);
  runLoad(State, milliseconds(5), std::chrono::seconds(6), Now);
  EXPECT_EQ(limit(State), State.Options.Slots);
  EXPECT_FALSE(loadReport(State).ColdStart);
}

// Guards against an undetected cold start: the latency jumps although no
// restart is seen.
TEST(Admit, LatencyJumpRestartsTheRamp) {
  AdmissionState State = warmState();
  TimePoint Now = Start;
  runLoad(State, milliseconds(5), std::chrono::seconds(1), Now);
  EXPECT_EQ(limit(State), 2U);
  runLoad(State, milliseconds(50), milliseconds(500), Now);
  EXPECT_EQ(State.Resets, 1U);
  EXPECT_TRUE(loadReport(State).ColdStart);
}

// Guards against a ramp that grows on failed requests.
TEST(Admit, RampDoesNotGrowOnFailures) {
  AdmissionState State;
  TimePoint Now = Start;
  for (int I = 0; I < 1000; ++I) {
    (void)admit(State, {.Deadline = NoDeadline}, Now);
    Now += milliseconds(5);
    (void)complete(State, {.Latency = milliseconds(5), .Failed = true}, Now);
  }
  EXPECT_EQ(limit(State), 1U);
}

} // namespace
} // namespace magnolia::policy
