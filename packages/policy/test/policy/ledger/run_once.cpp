#include "policy/ledger/run_once.h"

#include <gtest/gtest.h>

#include <functional>

namespace magnolia::policy {
namespace {

constexpr TimePoint Start{std::chrono::seconds(1)};
constexpr Duration Kept = std::chrono::minutes(10);
constexpr Incarnation Own = 7;

RequestId id(std::uint64_t Sequence, NodeId Origin = 1) {
  return {.Origin = Origin, .Run = 1, .Sequence = Sequence};
}

RunLedger small() {
  return RunLedger(Own, {.MaxRequests = 8, .FenceReserve = 0.25, .MaxKeys = 2});
}

struct LedgerCase {
  const char *Guards;
  std::function<void(RunLedger &)> Prepare;
  LedgerDecision Expected;
};

const LedgerCase Cases[] = {
    {"a first copy that doesn't run", [](RunLedger &) {}, LedgerDecision::Run},
    {"a second copy beside the first",
     [](RunLedger &Ledger) { (void)begin(Ledger, id(5), Start); },
     LedgerDecision::Duplicate},
    {"a second copy after the first",
     [](RunLedger &Ledger) {
       (void)begin(Ledger, id(5), Start);
       finish(Ledger, id(5), true);
     },
     LedgerDecision::Duplicate},
    {"a run after never_run was promised",
     [](RunLedger &Ledger) { (void)fence(Ledger, id(5), Start); },
     LedgerDecision::Fenced},
    {"a run after 'not run' was answered",
     [](RunLedger &Ledger) {
       (void)begin(Ledger, id(5), Start);
       finish(Ledger, id(5), false);
     },
     LedgerDecision::Fenced},
    {"an entry evicted early by other requests",
     [](RunLedger &Ledger) {
       for (std::uint64_t I = 10; I < 16; ++I) {
         (void)begin(Ledger, id(I), Start);
       }
     },
     LedgerDecision::Full},
    {"a delayed copy after its entry has expired",
     [](RunLedger &Ledger) {
       (void)begin(Ledger, id(5), Start);
       finish(Ledger, id(5), true);
       expire(Ledger, Start + Kept);
     },
     LedgerDecision::TooOld},
    {"a delayed request of before the retention period",
     [](RunLedger &Ledger) {
       (void)fence(Ledger, id(6), Start);
       expire(Ledger, Start + Kept);
     },
     LedgerDecision::TooOld},
    {"a long-running request forgotten after the retention period",
     [](RunLedger &Ledger) {
       (void)begin(Ledger, id(5), Start);
       expire(Ledger, Start + Kept);
     },
     LedgerDecision::Duplicate},
    {"an origin that blocks another",
     [](RunLedger &Ledger) {
       (void)fence(Ledger, id(9, 2), Start);
       expire(Ledger, Start + Kept);
     },
     LedgerDecision::Run},
};

TEST(RunLedger, Faults) {
  for (const LedgerCase &Row : Cases) {
    SCOPED_TRACE(Row.Guards);
    RunLedger Ledger = small();
    Row.Prepare(Ledger);
    EXPECT_EQ(begin(Ledger, id(5), Start), Row.Expected);
  }
}

// Guards against a false never_run about a request that an earlier run of the
// sidecar may have started, and against running a request meant for it.
TEST(RunLedger, OtherIncarnation) {
  RunLedger Ledger = small();
  EXPECT_EQ(begin(Ledger, id(1), Own - 1, Start), LedgerDecision::Stale);
  EXPECT_EQ(fence(Ledger, id(1), Own - 1, Start), FenceDecision::Started);
  EXPECT_EQ(begin(Ledger, id(1), Own, Start), LedgerDecision::Run);
}

// Guards against a false never_run when the ledger cannot keep the promise,
// and against requests that leave no room for fences.
TEST(RunLedger, FullForFences) {
  RunLedger Ledger = small();
  for (std::uint64_t I = 0; I < 8; ++I) {
    (void)begin(Ledger, id(I), Start);
  }
  EXPECT_EQ(Ledger.Requests.size(), 6U);
  EXPECT_EQ(fence(Ledger, id(20), Start), FenceDecision::NeverRun);
  EXPECT_EQ(fence(Ledger, id(21), Start), FenceDecision::NeverRun);
  EXPECT_EQ(fence(Ledger, id(22), Start), FenceDecision::Started);
  EXPECT_EQ(fence(Ledger, id(0), Start), FenceDecision::Started);
  EXPECT_EQ(Ledger.RequestsRefused, 2U);
  EXPECT_EQ(Ledger.FencesRefused, 1U);
}

// Guards against a resent key that runs twice, a key that stays blocked though
// nothing ran, and a claim that ends early because the key was free before.
TEST(RunLedger, Keys) {
  RunLedger Ledger = small();
  EXPECT_EQ(claimKey(Ledger, "s", "k", id(1), Start), KeyDecision::Claimed);
  EXPECT_EQ(claimKey(Ledger, "s", "k", id(2), Start), KeyDecision::Duplicate);
  EXPECT_EQ(claimKey(Ledger, "t", "k", id(2), Start), KeyDecision::Claimed);
  EXPECT_EQ(claimKey(Ledger, "s", "l", id(3), Start), KeyDecision::Full);
  finishKey(Ledger, "s", "k", id(2), false);
  EXPECT_EQ(claimKey(Ledger, "s", "k", id(3), Start), KeyDecision::Duplicate);
  finishKey(Ledger, "s", "k", id(1), false);
  const TimePoint Later = Start + Kept - std::chrono::seconds(1);
  EXPECT_EQ(claimKey(Ledger, "s", "k", id(3), Later), KeyDecision::Claimed);
  finishKey(Ledger, "s", "k", id(3), true);
  EXPECT_EQ(claimKey(Ledger, "s", "k", id(4), Start + Kept),
            KeyDecision::Duplicate);
  EXPECT_EQ(claimKey(Ledger, "s", "k", id(4), Later + 2 * Kept),
            KeyDecision::Claimed);
}

// Guards against lost entries when the index wraps, grows and shrinks.
TEST(RunLedger, TableKeepsEveryEntry) {
  RunLedger Ledger(Own, {.MaxRequests = 1000, .FenceReserve = 0});
  TimePoint Now = Start;
  for (std::uint64_t I = 1; I <= 5000; ++I) {
    Now += Kept / 500;
    ASSERT_EQ(begin(Ledger, id(I), Now), LedgerDecision::Run);
    finish(Ledger, id(I), true);
    const std::uint64_t Old = I > 450 ? I - 450 : 1;
    ASSERT_EQ(begin(Ledger, id(Old), Now), LedgerDecision::Duplicate);
  }
  EXPECT_LE(Ledger.Requests.size(), 501U);
}

} // namespace
} // namespace magnolia::policy
