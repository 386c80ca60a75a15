#include "verdicts.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace magnolia::bench {
namespace {

const Measure &named(const std::vector<Measure> &Measures,
                     const std::string &Name) {
  return *std::find_if(Measures.begin(), Measures.end(),
                       [&](const auto &Each) { return Each.Name == Name; });
}

CallResult answered(const std::string &Token) {
  CallResult Result;
  Result.Planned = {.Via = RequestPath::System,
                    .Service = "orders",
                    .Path = "/hold",
                    .Token = Token,
                    .Bytes = 0,
                    .Idempotent = false};
  Result.End = CallEnd::Answered;
  Result.Status = 200;
  Result.Matched = true;
  return Result;
}

TEST(Verdicts, GoodCallsHold) {
  // Guards against a check that no run can pass.
  const std::vector<CallResult> Results{answered("a"), answered("b")};
  for (const auto &Each : judgeCalls(Results, {{"a", 1}, {"b", 1}})) {
    EXPECT_TRUE(Each.Held) << Each.Name;
  }
}

TEST(Verdicts, CatchesEachBrokenPromise) {
  struct Row {
    const char *Guards;
    const char *Measure;
    CallResult Result;
    std::uint32_t Runs;
  };
  auto Unmatched = answered("t");
  Unmatched.Matched = false;
  auto Rejected = answered("t");
  Rejected.End = CallEnd::Rejected;
  Rejected.Run = "no";
  const Row Rows[] = {
      {"a response to another request", "responses_not_whole_or_not_matched",
       Unmatched, 1},
      {"a second run", "non_idempotent_runs_max", answered("t"), 2},
      {"a rejection that wrongly reports no run", "not_run_answers_that_ran",
       Rejected, 1},
      {"a response without a run", "responses_without_a_run", answered("t"), 0},
  };
  for (const auto &Row : Rows) {
    const std::vector<CallResult> Results{Row.Result};
    const RunCounts Runs{{"t", Row.Runs}};
    EXPECT_FALSE(named(judgeCalls(Results, Runs), Row.Measure).Held)
        << "guards against " << Row.Guards;
  }
}

TEST(Verdicts, CountsRunsOverAllBackendServers) {
  // Guards against a request that runs once on each of two servers.
  std::vector<BackendRecord> Records(2);
  Records[0].Runs["t"] = 1;
  Records[1].Runs["t"] = 1;
  EXPECT_EQ(mergeRuns(Records).at("t"), 2U);
}

TEST(Verdicts, BadVersionIsTimedFromWhatCallersSaw) {
  // Guards against a time that starts only when the fault ends.
  auto Faulty = answered("t");
  Faulty.Status = 500;
  Faulty.Version = "2";
  Faulty.EndWallMs = 10'000;
  std::vector<BackendRecord> Records(2);
  Records[0] = {.Service = "orders",
                .Version = "1",
                .Runs = {},
                .Requests = 96,
                .LastRequestMs = 20'000};
  Records[1] = {.Service = "orders",
                .Version = "2",
                .Runs = {},
                .Requests = 4,
                .LastRequestMs = 12'500};
  const std::vector<CallResult> Results{Faulty};
  const auto Measures = judgeBadVersion(Results, Records, "orders", "2");
  EXPECT_TRUE(named(Measures, "bad_version_share").Held);
  const auto &Late = named(Measures, "bad_version_last_work_after_fault_s");
  EXPECT_DOUBLE_EQ(Late.Value, 2.5);
  EXPECT_FALSE(Late.Held);
}

TEST(Verdicts, LatencyIsAddedToDirectCalls) {
  // Guards against an added latency that includes the backend server's time.
  std::vector<CallResult> Results;
  for (const auto &[Via, Overhead] : {std::pair{RequestPath::Direct, 0.2},
                                      std::pair{RequestPath::System, 0.7}}) {
    auto Result = answered("t");
    Result.Planned.Via = Via;
    Result.OverheadMs = Overhead;
    Results.push_back(Result);
  }
  const auto Measures = judgeLatency(Results);
  const auto &Added = named(Measures, "added_latency_p99_ms");
  EXPECT_NEAR(Added.Value, 0.5, 1e-9);
  EXPECT_TRUE(Added.Held);
}

} // namespace
} // namespace magnolia::bench
