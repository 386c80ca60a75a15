#include "policy/ledger/run_once.h"

#include <gtest/gtest.h>

#include <functional>

namespace magnolia::policy {
namespace {

constexpr TimePoint Start{std::chrono::seconds(1)};
constexpr Duration Retention = std::chrono::minutes(10);
constexpr Incarnation OwnIncarnation = 7;

RequestId id(std::uint64_t Sequence, NodeId Origin = 1) {
  return {.Origin = Origin, .Run = 1, .Sequence = Sequence};
}

RunLedger smallLedger() {
  return RunLedger(OwnIncarnation,
                   {.MaxRequests = 8, .FenceReserve = 0.25, .MaxKeys = 2});
}

struct LedgerCase {
  const char *Guards;
  std::function<void(RunLedger &)> Prepare;
  LedgerDecision Expected;
};

const LedgerCase Cases[] = {
    {"a first request that does not run", [](RunLedger &) {},
     LedgerDecision::Run},
    {"a duplicate while the first request runs",
     [](RunLedger &Ledger) { (void)begin(Ledger, id(5), Start); },
     LedgerDecision::Duplicate},
    {"a duplicate after the first request",
     [](RunLedger &Ledger) {
       (void)begin(Ledger, id(5), Start);
       finish(Ledger, id(5), true);
     },
     LedgerDecision::Duplicate},
    {"a run after a fence returned never_run",
     [](RunLedger &Ledger) { (void)fence(Ledger, id(5), Start); },
     LedgerDecision::Fenced},
    {"a run after the response 'not run'",
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
    {"a delayed duplicate after its entry has expired",
     [](RunLedger &Ledger) {
       (void)begin(Ledger, id(5), Start);
       finish(Ledger, id(5), true);
       expire(Ledger, Start + Retention);
     },
     LedgerDecision::TooOld},
    {"a delayed request older than the retention period",
     [](RunLedger &Ledger) {
       (void)fence(Ledger, id(6), Start);
       expire(Ledger, Start + Retention);
     },
     LedgerDecision::TooOld},
    {"a running request removed after the retention period",
     [](RunLedger &Ledger) {
       (void)begin(Ledger, id(5), Start);
       expire(Ledger, Start + Retention);
     },
     LedgerDecision::Duplicate},
    {"an origin that blocks another",
     [](RunLedger &Ledger) {
       (void)fence(Ledger, id(9, 2), Start);
       expire(Ledger, Start + Retention);
     },
     LedgerDecision::Run},
};

TEST(RunLedger, Faults) {
  for (const LedgerCase &Row : Cases) {
    SCOPED_TRACE(Row.Guards);
    RunLedger Ledger = smallLedger();
    Row.Prepare(Ledger);
    EXPECT_EQ(begin(Ledger, id(5), Start), Row.Expected);
  }
}

// Guards against a false never_run for a request that an earlier incarnation of
// the sidecar may have started, and against running a request that was sent to
// that incarnation.
TEST(RunLedger, RequestForAnotherIncarnation) {
  RunLedger Ledger = smallLedger();
  EXPECT_EQ(begin(Ledger, id(1), OwnIncarnation - 1, Start),
            LedgerDecision::Stale);
  EXPECT_EQ(fence(Ledger, id(1), OwnIncarnation - 1, Start),
            FenceDecision::Started);
  EXPECT_EQ(begin(Ledger, id(1), OwnIncarnation, Start), LedgerDecision::Run);
}

// Guards against a false never_run when the ledger is too full to store the
// fence, and against requests that use the entries reserved for fences.
TEST(RunLedger, FullForFences) {
  RunLedger Ledger = smallLedger();
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

// Guards against a key that runs twice, a key that stays claimed although
// nothing ran, and a claim that expires early because the key had been claimed
// before.
TEST(RunLedger, Keys) {
  RunLedger Ledger = smallLedger();
  EXPECT_EQ(claimKey(Ledger, "s", "k", id(1), Start), KeyDecision::Claimed);
  EXPECT_EQ(claimKey(Ledger, "s", "k", id(2), Start), KeyDecision::Duplicate);
  EXPECT_EQ(claimKey(Ledger, "t", "k", id(2), Start), KeyDecision::Claimed);
  EXPECT_EQ(claimKey(Ledger, "s", "l", id(3), Start), KeyDecision::Full);
  finishKey(Ledger, "s", "k", id(2), false);
  EXPECT_EQ(claimKey(Ledger, "s", "k", id(3), Start), KeyDecision::Duplicate);
  finishKey(Ledger, "s", "k", id(1), false);
  const TimePoint Later = Start + Retention - std::chrono::seconds(1);
  EXPECT_EQ(claimKey(Ledger, "s", "k", id(3), Later), KeyDecision::Claimed);
  finishKey(Ledger, "s", "k", id(3), true);
  EXPECT_EQ(claimKey(Ledger, "s", "k", id(4), Start + Retention),
            KeyDecision::Duplicate);
  EXPECT_EQ(claimKey(Ledger, "s", "k", id(4), Later + 2 * Retention),
            KeyDecision::Claimed);
}

// Guards against lost entries when the ring wraps around, and when the table
// grows or entries expire.
TEST(RunLedger, TableKeepsEveryEntry) {
  RunLedger Ledger(OwnIncarnation, {.MaxRequests = 1000, .FenceReserve = 0});
  TimePoint Now = Start;
  for (std::uint64_t I = 1; I <= 5000; ++I) {
    Now += Retention / 500;
    ASSERT_EQ(begin(Ledger, id(I), Now), LedgerDecision::Run);
    finish(Ledger, id(I), true);
    const std::uint64_t Old = I > 450 ? I - 450 : 1;
    ASSERT_EQ(begin(Ledger, id(Old), Now), LedgerDecision::Duplicate);
  }
  EXPECT_LE(Ledger.Requests.size(), 501U);
}

} // namespace
} // namespace magnolia::policy
