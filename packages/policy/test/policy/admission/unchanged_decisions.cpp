#include "policy/admission/admit.h"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;

// Draws numbers in the same way with every standard library.
class Draw {
public:
  explicit Draw(std::uint64_t Seed) : Engine(Seed) {}
  std::uint64_t below(std::uint64_t Count) { return Engine() % Count; }
  bool once(std::uint64_t In) { return below(In) == 0; }

private:
  std::mt19937_64 Engine;
};

AdmissionOptions randomOptions(Draw &Next) {
  constexpr double ColdRates[] = {0, 0.5, 3, 13, 19};
  constexpr double Factors[] = {0, 0.5, 1, 1.25};
  const bool LimitsRetries = Next.once(2);
  return {.Slots = 1 + static_cast<std::uint32_t>(Next.below(9)),
          .UsableShare = Next.once(2) ? 1.0 : 0.8,
          .AnnouncesCold = !Next.once(4),
          .ColdPerSecond = ColdRates[Next.below(5)],
          .ColdFactor = Factors[Next.below(4)],
          .RepeatRatio = LimitsRetries ? 0.15 : 0,
          .RepeatSlack = LimitsRetries ? 4.0 : 0,
          .NestedRepeatShare = Next.once(2) ? 0.5 : 0,
          .SlowPercent = Next.once(2) ? 250U : 0U,
          .MaxWaiting = 1 + static_cast<std::uint32_t>(Next.below(8))};
}

// Applies random events to a server and records every decision.
class Walk {
public:
  explicit Walk(std::uint64_t Seed) : Next(Seed) {
    State.Options = randomOptions(Next);
    State.Latency = milliseconds(1 + Next.below(60));
    State.Shares.Seed = Seed;
  }

  void run(int Steps) {
    for (int I = 0; I < Steps; ++I) {
      Now += std::chrono::microseconds(Next.below(20'000));
      step();
    }
  }

  std::vector<std::uint64_t> Decisions;
  AdmissionState State;

private:
  void step() {
    const std::uint64_t Event = Next.below(100);
    if (Event < 60) {
      ask();
    } else if (Event < 80) {
      end();
    } else if (Event < 88) {
      for (const Expiry &Ended : expire(State, Now)) {
        record({3, Ended.Id, static_cast<std::uint64_t>(Ended.Kind)});
      }
    } else if (Event < 92) {
      record({4, abandon(State, State.LastTicket - Next.below(4)) ? 1U : 0U});
    } else if (Event < 96) {
      onColdLeft(State, milliseconds(Next.below(3000)), Now);
    } else if (Event < 98) {
      onWorkTime(State, 100 + static_cast<std::uint32_t>(Next.below(300)), Now);
    } else if (Event < 99) {
      onBackendIncarnation(State, 1 + Next.below(100), Now);
    } else {
      onConnectFailure(State, Now);
    }
    record({5, static_cast<std::uint64_t>(
                   nextExpiry(State).time_since_epoch().count())});
  }

  void ask() {
    const std::string Name = "org-" + std::to_string(Next.below(3));
    const bool Nested = Next.once(4);
    const AdmissionQuery Query{
        .Deadline = Now + milliseconds(Next.below(800)),
        .Objective =
            Next.once(4) ? TimePoint{} : Now + milliseconds(Next.below(600)),
        .Priority = Nested ? 0 : static_cast<std::uint32_t>(Next.below(4)),
        .Repeat = Next.once(5),
        .Nested = Nested,
        .OfRepeat = Next.once(9),
        .HasChoice = Next.once(3),
        .Organisation = Nested ? std::string_view() : std::string_view(Name)};
    const AdmissionDecision Made = admit(State, Query, Now);
    record({1, static_cast<std::uint64_t>(Made.Action), Made.Id,
            static_cast<std::uint64_t>(Made.Kind)});
  }

  void end() {
    if (State.InFlight == 0) {
      return;
    }
    const Completion Ended{.Latency = milliseconds(1 + Next.below(80)),
                           .Failed = Next.once(8),
                           .NotSent = Next.once(8)};
    for (const Ticket Id : complete(State, Ended, Now)) {
      record({2, Id});
    }
  }

  void record(std::initializer_list<std::uint64_t> Values) {
    Decisions.insert(Decisions.end(), Values);
  }

  Draw Next;
  TimePoint Now{std::chrono::seconds(100)};
};

std::uint64_t digestOf(const std::vector<std::uint64_t> &Values) {
  constexpr std::uint64_t Prime = 0x100000001b3;
  std::uint64_t Hash = 0xcbf29ce484222325;
  for (const std::uint64_t Value : Values) {
    Hash = (Hash ^ Value) * Prime;
  }
  return Hash;
}

// Guards against a deployment that is not aware of the workload and whose
// decisions change. The digest is that of the version without waiting for the
// cold rate, over random states and events. A wanted change of these decisions
// changes the digest.
TEST(UnchangedDecisions, AreThoseWithoutWaitingForTheColdRate) {
  constexpr std::uint64_t Expected = 8851639941166157137ULL;
  std::vector<std::uint64_t> All;
  for (std::uint64_t Seed = 0; Seed < 300; ++Seed) {
    Walk Random(Seed);
    Random.run(400);
    All.insert(All.end(), Random.Decisions.begin(), Random.Decisions.end());
  }
  EXPECT_EQ(digestOf(All), Expected);
}

// Guards against a switch that changes the decisions of a server without a rate
// for its cold start.
TEST(UnchangedDecisions, AreThoseOfTheSwitchWithoutARate) {
  for (std::uint64_t Seed = 0; Seed < 100; ++Seed) {
    Walk Off(Seed);
    Walk On(Seed);
    Off.State.Options.ColdPerSecond = On.State.Options.ColdPerSecond = 0;
    On.State.Options.PacesCold = true;
    Off.run(400);
    On.run(400);
    EXPECT_EQ(Off.Decisions, On.Decisions) << Seed;
  }
}

} // namespace
} // namespace magnolia::policy
