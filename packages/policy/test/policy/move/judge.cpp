#include "policy/move/judge.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

using std::chrono::microseconds;

// Answers of which some failed and the others took Latency, a tenth of them
// four times as long.
VersionCounts counts(std::uint64_t Requests, std::uint64_t Failures,
                     microseconds Latency) {
  VersionCounts Result;
  for (std::uint64_t I = 0; I < Requests; ++I) {
    addAnswer(Result, I < Failures, I % 10 == 9 ? 4 * Latency : Latency);
  }
  return Result;
}

struct JudgeCase {
  const char *GuardsAgainst;
  VersionCounts New;
  VersionCounts Old;
  Comparison Expected;
};

constexpr microseconds Usual{10'000};

const JudgeCase Cases[] = {
    {"a verdict without any answer", {}, {}, Comparison::Alike},
    {"one chance failure ending a good move", counts(20, 1, Usual),
     counts(500, 0, Usual), Comparison::Alike},
    {"a version that fails always needing many requests", counts(2, 2, Usual),
     counts(100, 0, Usual), Comparison::Fails},
    {"a version that fails one request in five", counts(25, 5, Usual),
     counts(500, 2, Usual), Comparison::Fails},
    {"failures of an overload that both versions share", counts(40, 12, Usual),
     counts(400, 100, Usual), Comparison::Alike},
    {"a version that fails fast passing for a fast one",
     counts(10, 10, microseconds{100}), counts(100, 0, Usual),
     Comparison::Fails},
    {"a version slowed tenfold", counts(5, 0, 10 * Usual),
     counts(100, 0, Usual), Comparison::Slows},
    {"a version slowed twofold that many answers show",
     counts(400, 0, 2 * Usual), counts(400, 0, Usual), Comparison::Slows},
    {"a noisy neighbour that slows both versions", counts(50, 0, 10 * Usual),
     counts(100, 0, 10 * Usual), Comparison::Alike},
    {"two slow answers ending a good move", counts(2, 0, 10 * Usual),
     counts(100, 0, Usual), Comparison::Alike},
    {"a slow verdict without anything to compare with",
     counts(50, 0, 10 * Usual), counts(5, 0, Usual), Comparison::Alike},
    {"the scheduler's noise below a millisecond",
     counts(20, 0, microseconds{1'200}), counts(100, 0, microseconds{90}),
     Comparison::Alike},
};

TEST(MoveJudge, FaultCases) {
  for (const JudgeCase &Case : Cases) {
    SCOPED_TRACE(Case.GuardsAgainst);
    EXPECT_EQ(compare(Case.New, Case.Old), Case.Expected);
  }
}

} // namespace
} // namespace magnolia::policy
