#include "policy/pipeline/plan_pipeline.h"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <string_view>

namespace magnolia::policy {
namespace {

constexpr std::size_t ResponseBytes = 100;

// One request for each letter: i and n wait (idempotent, not idempotent), I
// and N run, d and e are done, c is done and closes the connection.
PipelineState stateOf(std::string_view Letters) {
  PipelineState State;
  for (const char Letter : Letters) {
    PipelinedRequest Next;
    Next.Idempotent = Letter != 'n' && Letter != 'N' && Letter != 'e';
    Next.Closes = Letter == 'c';
    if (Letter == 'I' || Letter == 'N') {
      Next.Stage = RequestStage::Running;
    } else if (Letter != 'i' && Letter != 'n') {
      Next.Stage = RequestStage::Done;
      Next.ResponseBytes = ResponseBytes;
    }
    State.Requests.push_back(Next);
  }
  return State;
}

struct StartRow {
  const char *Guards;
  const char *Requests;
  std::size_t Bytes;
  std::optional<std::size_t> Next;
};

constexpr std::size_t Enough = 1000;

TEST(PlanPipeline, WhatStarts) {
  const StartRow Rows[] = {
      {"the first request that waits for nothing", "i", Enough, 0},
      {"the same if it is not idempotent", "nii", Enough, 0},
      {"an idempotent request that waits for one in front", "Ii", Enough, 1},
      {"the same while a response waits for its turn", "Idi", Enough, 2},
      {"a request that is started twice", "II", Enough, std::nullopt},
      {"a non-idempotent request that runs beside one in front", "In", Enough,
       std::nullopt},
      {"the same while the response in front is written", "dn", Enough,
       std::nullopt},
      {"an idempotent request that overtakes a non-idempotent one", "Ini",
       Enough, std::nullopt},
      {"the same while the non-idempotent one runs", "Ni", Enough,
       std::nullopt},
      {"the same while its response is written", "ei", Enough, std::nullopt},
      {"a request that runs behind a response that closes the connection",
       "Ici", Enough, std::nullopt},
      {"responses without bound behind a slow one", "Iddi", 2 * ResponseBytes,
       std::nullopt},
      {"a response being written that counts as held", "di", ResponseBytes, 1},
      {"a connection that stands still at its limit", "idd", ResponseBytes, 0}};
  for (const StartRow &Row : Rows) {
    EXPECT_EQ(nextToStart(stateOf(Row.Requests),
                          {.Requests = 16, .Bytes = Row.Bytes}),
              Row.Next)
        << Row.Guards;
  }
}

struct ReadRow {
  const char *Guards;
  const char *Requests;
  bool Stopping;
  bool MemoryShort;
  bool Reads;
};

TEST(PlanPipeline, WhetherToReadOn) {
  const ReadRow Rows[] = {
      {"an idle connection", "", false, false, true},
      {"a limit on requests that stops reading early", "III", false, false,
       true},
      {"requests without bound", "IIIn", false, false, false},
      {"responses without bound", "Idd", false, false, false},
      {"responses over the memory of the node", "I", false, true, false},
      {"a request that is read and not answered because the node stops", "I",
       true, false, false},
      {"a request sent before its caller could know of the stop", "", true,
       false, true}};
  const PipelineLimits Limits{.Requests = 4, .Bytes = 2 * ResponseBytes};
  for (const ReadRow &Row : Rows) {
    PipelineState State = stateOf(Row.Requests);
    State.Stopping = Row.Stopping;
    State.MemoryShort = Row.MemoryShort;
    EXPECT_EQ(readsOn(State, Limits), Row.Reads) << Row.Guards;
    State.InputEnded = true;
    EXPECT_FALSE(readsOn(State, Limits)) << Row.Guards;
  }
}

// Guards against a limit of 1 that changes how requests were served before:
// each is read after the response to the one in front.
TEST(PlanPipeline, OneRequestAtATime) {
  const PipelineLimits Limits{.Requests = 1};
  EXPECT_TRUE(readsOn({}, Limits));
  for (const char *Requests : {"i", "n", "I", "N", "d", "e"}) {
    EXPECT_FALSE(readsOn(stateOf(Requests), Limits)) << Requests;
  }
}

enum class Event { None, Gone, Closed, Stopping, Ended };

struct EndRow {
  const char *Guards;
  const char *Requests;
  Event Before;
  bool Writes;
  bool ClosesWithFirst;
  // Positions of the requests that are cancelled, as digits.
  const char *Cancelled;
  bool Over;
};

TEST(PlanPipeline, WhatIsWrittenAndCancelled) {
  const EndRow Rows[] = {
      {"a response that overtakes one in front", "Id", Event::None, false,
       false, "", false},
      {"a response that waits although its turn has come", "dI", Event::None,
       true, false, "", false},
      {"requests that run for a caller that is gone", "dINi", Event::Gone, true,
       false, "12", false},
      {"a ready response that is dropped because the input has ended", "di",
       Event::Gone, true, false, "", false},
      {"a request that starts for a caller that is gone", "i", Event::Gone,
       false, false, "", true},
      {"requests that run behind a response that closed the connection", "dIi",
       Event::Closed, false, false, "1", false},
      {"a closed connection that stays", "di", Event::Closed, false, false, "",
       true},
      {"a stop that closes the connection before requests that were read",
       "dIn", Event::Stopping, true, false, "", false},
      {"a stop that leaves the connection open", "d", Event::Stopping, true,
       true, "", false},
      {"a response that closes the connection in front of others", "cI",
       Event::None, true, true, "", false},
      {"a malformed request that cuts the responses in front of it", "Ic",
       Event::Ended, false, false, "", false},
      {"a connection that stays after its last response", "", Event::Ended,
       false, false, "", true},
      {"an idle connection that is closed", "", Event::None, false, false, "",
       false}};
  for (const EndRow &Row : Rows) {
    PipelineState State = stateOf(Row.Requests);
    State.CallerGone = Row.Before == Event::Gone;
    State.Closed = Row.Before == Event::Closed;
    State.Stopping = Row.Before == Event::Stopping;
    State.InputEnded = Row.Before == Event::Ended;
    EXPECT_EQ(mayWrite(State), Row.Writes) << Row.Guards;
    EXPECT_EQ(closesWithFirst(State), Row.ClosesWithFirst) << Row.Guards;
    EXPECT_EQ(isOver(State), Row.Over) << Row.Guards;
    std::string Cancelled;
    for (std::size_t I = 0; I < State.Requests.size(); ++I) {
      Cancelled += isCancelled(State, I) ? std::to_string(I) : "";
    }
    EXPECT_EQ(Cancelled, Row.Cancelled) << Row.Guards;
  }
}

// Walks one connection through random requests, starts, ends and writes.
struct Walk {
  explicit Walk(unsigned Seed) : Engine(Seed) {}

  [[nodiscard]] bool oneIn(unsigned Count) { return Engine() % Count == 0; }

  void step() {
    if (readsOn(State, Limits) && oneIn(2)) {
      State.Requests.push_back({.Idempotent = !oneIn(4), .Closes = oneIn(32)});
      State.InputEnded = State.Requests.back().Closes;
    }
    if (const auto Next = nextToStart(State, Limits)) {
      checkStart(*Next);
      State.Requests[*Next].Stage = RequestStage::Running;
    }
    for (PipelinedRequest &Next : State.Requests) {
      if (Next.Stage == RequestStage::Running && oneIn(4)) {
        Next.Stage = RequestStage::Done;
        Next.ResponseBytes = ResponseBytes;
      }
    }
    State.CallerGone = State.CallerGone || oneIn(512);
    State.Stopping = State.Stopping || oneIn(512);
    if (mayWrite(State) && oneIn(2)) {
      State.Requests.front().Closes = closesWithFirst(State);
      onAnswered(State);
    }
    EXPECT_LE(State.Requests.size(), Limits.Requests);
    // Each of the requests that ran at the limit may add one response.
    EXPECT_LE(heldBytes(State), Limits.Bytes + Limits.Requests * ResponseBytes);
  }

  void checkStart(std::size_t Index) const {
    EXPECT_FALSE(State.CallerGone || State.Closed);
    for (std::size_t I = 0; I < Index; ++I) {
      EXPECT_TRUE(State.Requests[I].Idempotent);
      EXPECT_NE(State.Requests[I].Stage, RequestStage::Waiting);
    }
    EXPECT_TRUE(Index == 0 || State.Requests[Index].Idempotent);
  }

  std::mt19937 Engine;
  const PipelineLimits Limits{.Requests = 8, .Bytes = 3 * ResponseBytes};
  PipelineState State;
};

// Guards against a mix of requests that stands still, overtakes a
// non-idempotent request or exceeds a limit.
TEST(PlanPipeline, RandomRequestsAllEnd) {
  for (unsigned Seed = 0; Seed < 500; ++Seed) {
    Walk Random(Seed);
    int Steps = 0;
    while (!isOver(Random.State) && Steps < 100'000) {
      Random.step();
      ++Steps;
    }
    EXPECT_TRUE(isOver(Random.State)) << Seed;
  }
}

} // namespace
} // namespace magnolia::policy
