#include "policy/rollout/compare_versions.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

using std::chrono::microseconds;

// Returns counts in which the given number of responses failed. The others took
// Latency, every tenth of them four times as long.
VersionCounts counts(std::uint64_t Requests, std::uint64_t Failures,
                     microseconds Latency) {
  VersionCounts Result;
  for (std::uint64_t I = 0; I < Requests; ++I) {
    addResponse(Result, I < Failures, I % 10 == 9 ? 4 * Latency : Latency);
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
    {"a verdict without any response", {}, {}, Comparison::Similar},
    {"one random failure that ends a good rollout", counts(20, 1, Usual),
     counts(500, 0, Usual), Comparison::Similar},
    {"a version that always fails but needs many requests for a verdict",
     counts(2, 2, Usual), counts(100, 0, Usual), Comparison::Fails},
    {"a version that fails one request in five", counts(25, 5, Usual),
     counts(500, 2, Usual), Comparison::Fails},
    {"a bad verdict on failures of an overload that affects both versions",
     counts(40, 12, Usual), counts(400, 100, Usual), Comparison::Similar},
    {"a version that fails fast and is taken for a fast one",
     counts(10, 10, microseconds{100}), counts(100, 0, Usual),
     Comparison::Fails},
    {"a version that is ten times slower", counts(5, 0, 10 * Usual),
     counts(100, 0, Usual), Comparison::Slows},
    {"a version that is twice as slow over many responses",
     counts(400, 0, 2 * Usual), counts(400, 0, Usual), Comparison::Slows},
    {"a bad verdict on a noisy neighbour that slows both versions",
     counts(50, 0, 10 * Usual), counts(100, 0, 10 * Usual),
     Comparison::Similar},
    {"two slow responses that end a good rollout", counts(2, 0, 10 * Usual),
     counts(100, 0, Usual), Comparison::Similar},
    {"a slow verdict without enough old responses to compare with",
     counts(50, 0, 10 * Usual), counts(5, 0, Usual), Comparison::Similar},
    {"a slow verdict on scheduler noise of about a millisecond",
     counts(20, 0, microseconds{1'200}), counts(100, 0, microseconds{90}),
     Comparison::Similar},
};

TEST(RolloutEvaluation, FaultCases) {
  for (const JudgeCase &Case : Cases) {
    SCOPED_TRACE(Case.GuardsAgainst);
    EXPECT_EQ(compare(Case.New, Case.Old), Case.Expected);
  }
}

} // namespace
} // namespace magnolia::policy
