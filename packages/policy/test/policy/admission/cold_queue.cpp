#include "policy/admission/admit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::seconds(100)};
constexpr Duration Second = std::chrono::seconds(1);
constexpr Duration ColdTime = std::chrono::seconds(3);
constexpr std::uint32_t Rate = 13;
constexpr Duration Interval = Second / Rate;

AdmissionState coldServer() {
  AdmissionState State;
  State.Options = {.Slots = 9,
                   .UsableShare = 0.8,
                   .AnnouncesCold = true,
                   .ColdPerSecond = Rate,
                   .PacesCold = true,
                   .MaxWaiting = 16};
  State.Latency = milliseconds(140);
  onColdLeft(State, ColdTime, Start);
  return State;
}

// Kind of request of the restart: nested calls and three ranks.
struct Kind {
  std::uint32_t Priority;
  double PerSecond;
  Duration Work;
  Duration Objective;
  Duration Budget;
};

constexpr Kind Kinds[] = {
    {0, 5, milliseconds(72), milliseconds(150), milliseconds(400)},
    {1, 5, milliseconds(280), milliseconds(600), milliseconds(2500)},
    {2, 14, milliseconds(220), milliseconds(500), milliseconds(2000)},
    {3, 12, milliseconds(260), milliseconds(800), milliseconds(3000)}};

struct Request {
  TimePoint At;
  const Kind *Of = nullptr;
};

// Replays one cold server after a restart, with nearly three times the requests
// that it accepts. Each waiting request wakes up when the state says so.
class Restart {
public:
  explicit Restart(std::uint64_t Seed) {
    std::mt19937_64 Engine(Seed);
    for (const Kind &Next : Kinds) {
      std::exponential_distribution<double> Gap(Next.PerSecond);
      TimePoint At = Start;
      while ((At += std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double>(Gap(Engine)))) <
             Start + ColdTime) {
        Arrivals.push_back({At, &Next});
      }
    }
    std::ranges::sort(Arrivals, {}, &Request::At);
  }

  void run() {
    std::size_t Next = 0;
    while (Next < Arrivals.size()) {
      const TimePoint End =
          Ends.empty() ? TimePoint::max() : Ends.begin()->first;
      const TimePoint Wake = std::min(nextExpiry(State), nextStart(State, Now));
      Now = std::max(Now, std::min({End, Wake, Arrivals[Next].At}));
      if (End <= Now) {
        const Duration Work = Ends.begin()->second;
        Ends.erase(Ends.begin());
        start(complete(State, {.Latency = Work}, Now));
      } else if (Wake <= Now) {
        wake();
      } else {
        arrive(Arrivals[Next++]);
      }
    }
  }

  // Times of the starts and of the rejections.
  std::vector<Request> Starts;
  std::vector<Request> Rejections;

private:
  void wake() {
    const bool Turn = nextStart(State, Now) <= Now;
    for (const Expiry &Ended : expire(State, Now)) {
      Rejections.push_back({Now, Waiting.at(Ended.Id)});
      Waiting.erase(Ended.Id);
    }
    const std::vector<Ticket> Ready = release(State, Now);
    // A wake-up without effect would repeat without end.
    EXPECT_TRUE(!Turn || !Ready.empty());
    start(Ready);
  }

  void arrive(const Request &Next) {
    const Kind &Of = *Next.Of;
    const AdmissionDecision Made = admit(State,
                                         {.Deadline = Now + Of.Budget,
                                          .Objective = Now + Of.Objective,
                                          .Priority = Of.Priority,
                                          .Nested = Of.Priority == 0},
                                         Now);
    if (Made.Action == AdmissionAction::Run) {
      start(Of);
    } else if (Made.Action == AdmissionAction::Wait) {
      Waiting[Made.Id] = &Of;
    } else {
      EXPECT_EQ(Made.Kind, ErrorKind::ColdStart);
      Rejections.push_back({Now, &Of});
    }
  }

  void start(const std::vector<Ticket> &Ready) {
    for (const Ticket Id : Ready) {
      start(*Waiting.at(Id));
      Waiting.erase(Id);
    }
  }

  void start(const Kind &Of) {
    for (const Waiter &Left : State.Waiting) {
      EXPECT_GE(Left.Priority, Of.Priority) << "a higher rank still waits";
    }
    Starts.push_back({Now, &Of});
    Ends.emplace(Now + Of.Work, Of.Work);
  }

  AdmissionState State = coldServer();
  TimePoint Now = Start;
  std::vector<Request> Arrivals;
  std::map<Ticket, const Kind *> Waiting;
  std::multimap<TimePoint, Duration> Ends;
};

// Returns the part of the requests of this rank that started.
double servedPart(const Restart &Run, std::uint32_t Priority) {
  const auto Count = [Priority](const std::vector<Request> &Among) {
    return static_cast<double>(std::ranges::count(
        Among, Priority, [](const Request &One) { return One.Of->Priority; }));
  };
  return Count(Run.Starts) / (Count(Run.Starts) + Count(Run.Rejections));
}

// Returns true if a request of a lower rank starts while this one could wait.
bool isOvertaken(const Restart &Run, const Request &Rejected) {
  const auto MaxWait = std::chrono::duration_cast<Duration>(
      Rejected.Of->Objective * AdmissionOptions{}.ObjectiveWaitShare);
  return std::ranges::any_of(Run.Starts, [&](const Request &Other) {
    return Other.Of->Priority > Rejected.Of->Priority &&
           Other.At > Rejected.At && Other.At <= Rejected.At + MaxWait;
  });
}

// Guards against a cold server whose requests of a second start in its first
// milliseconds, and against one that exceeds its rate in any second.
TEST(ColdQueue, StartsAreEvenlySpaced) {
  for (std::uint64_t Seed = 0; Seed < 20; ++Seed) {
    SCOPED_TRACE(Seed);
    Restart Run(Seed);
    Run.run();
    const std::vector<Request> &Starts = Run.Starts;
    EXPECT_GE(Starts.size(), 3 * Rate - 3);
    for (std::size_t I = ColdBurst; I < Starts.size(); ++I) {
      const Duration Before = Starts[I - 1].At - Starts[I - 2].At;
      const Duration Gap = Starts[I].At - Starts[I - 1].At;
      // After a pause two may start at once.
      EXPECT_TRUE(Gap >= Interval / 2 || Before >= 2 * Interval);
      EXPECT_LE(Gap, 3 * Interval);
    }
    for (std::size_t I = Rate; I < Starts.size(); ++I) {
      EXPECT_GT(Starts[I].At - Starts[I - Rate].At, Second);
    }
  }
}

// Guards against nested calls and high ranks that are rejected while requests
// of lower ranks take the places of a cold server.
TEST(ColdQueue, RanksDecideWhoStarts) {
  std::vector<double> Served(4);
  for (std::uint64_t Seed = 0; Seed < 20; ++Seed) {
    SCOPED_TRACE(Seed);
    Restart Run(Seed);
    Run.run();
    for (std::uint32_t Priority = 0; Priority < 4; ++Priority) {
      Served[Priority] += servedPart(Run, Priority) / 20;
    }
    for (const Request &Rejected : Run.Rejections) {
      EXPECT_FALSE(Rejected.Of->Priority == 0 && isOvertaken(Run, Rejected));
    }
  }
  EXPECT_GT(Served[0], 0.8);
  EXPECT_GT(Served[1], 0.8);
  EXPECT_LT(Served[3], 0.1);
}

// Guards against a rate that falls because each request wakes up a little late.
TEST(ColdQueue, LateWakeUpsDoNotLowerTheRate) {
  ColdPace Pace;
  std::uint32_t Starts = 0;
  TimePoint Now = Start;
  for (; Now < Start + 10 * Second; ++Starts) {
    recordPacedStart(Pace, Rate, Now);
    Now = nextPacedStart(Pace, Rate, Now) + Interval / 4;
  }
  EXPECT_GE(Starts, 10 * Rate - 1);
}

// Cold server with its burst spent at Start and two requests that wait.
struct ColdQueueFailures : testing::Test {
  ColdQueueFailures() {
    for (AdmissionAction Expected :
         {AdmissionAction::Run, AdmissionAction::Run, AdmissionAction::Wait,
          AdmissionAction::Wait}) {
      EXPECT_EQ(ask(Start).Action, Expected);
    }
    Turn = nextStart(State, Start);
  }

  AdmissionDecision ask(TimePoint Now, Duration Objective = Second) {
    return admit(
        State,
        {.Deadline = Now + Second, .Objective = Now + Objective, .Priority = 1},
        Now);
  }

  AdmissionState State = coldServer();
  TimePoint Turn;
};

using Tickets = std::vector<Ticket>;

TEST_F(ColdQueueFailures, RequestThatCannotStartInTimeIsRejectedAtOnce) {
  const AdmissionDecision Made = ask(Start, milliseconds(300));
  EXPECT_EQ(Made.Action, AdmissionAction::Refuse);
  EXPECT_EQ(Made.Kind, ErrorKind::ColdStart);
}

TEST_F(ColdQueueFailures, ExpectedWaitIsTheLargerOfSlotAndRate) {
  constexpr Duration Objective = milliseconds(900);
  State.Latency = std::chrono::seconds(2);
  EXPECT_EQ(ask(Start, Objective).Action, AdmissionAction::Wait);
  State.Options.Slots = 2;
  EXPECT_EQ(ask(Start, Objective).Action, AdmissionAction::Refuse);
}

TEST_F(ColdQueueFailures, TwoThatWakeUpAtOnceTakeOnePlace) {
  EXPECT_TRUE(release(State, Turn - Duration(1)).empty());
  EXPECT_EQ(release(State, Turn), Tickets{1});
  EXPECT_TRUE(release(State, Turn).empty());
}

TEST_F(ColdQueueFailures, ServerThatWarmsUpStartsAllThatWait) {
  onColdLeft(State, Duration{0}, Start);
  EXPECT_EQ(nextStart(State, Start), Start);
  EXPECT_EQ(release(State, Start), (Tickets{1, 2}));
}

TEST_F(ColdQueueFailures, ServerThatIsColdAgainKeepsItsRate) {
  State.Options.Slots = 1;
  onColdLeft(State, Duration{0}, Start);
  EXPECT_EQ(nextStart(State, Start), TimePoint::max());
  onColdLeft(State, ColdTime, Start);
  State.Options.Slots = 9;
  EXPECT_TRUE(complete(State, {.Latency = milliseconds(1)}, Start).empty());
  EXPECT_EQ(nextStart(State, Start), Turn);
}

TEST_F(ColdQueueFailures, CallerThatLeavesUsesNoPlace) {
  EXPECT_TRUE(abandon(State, 1));
  EXPECT_EQ(nextStart(State, Start), Turn);
  EXPECT_EQ(release(State, Turn), Tickets{2});
}

TEST_F(ColdQueueFailures, CallerThatLeavesBeforeTheStartReturnsItsPlace) {
  ASSERT_EQ(release(State, Turn), Tickets{1});
  EXPECT_EQ(complete(State, {.NotSent = true, .NeverStarted = Turn}, Turn),
            Tickets{2});
  EXPECT_EQ(State.Arrivals.LastSecond.size(), 3U);
}

TEST_F(ColdQueueFailures, RestartAndDrainingKeepThoseThatWait) {
  onBackendIncarnation(State, 2, Start);
  drain(State);
  EXPECT_EQ(ask(Start).Kind, ErrorKind::Draining);
  EXPECT_EQ(release(State, Turn), Tickets{1});
}

} // namespace
} // namespace magnolia::policy
