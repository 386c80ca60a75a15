#include "daemon/announce/announcer.h"

#include "daemon/net/clock.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <future>
#include <optional>
#include <utility>
#include <vector>

namespace magnolia::daemon {
namespace {

using policy::BackendReport;
using policy::BackendStage;

struct AnnouncerTest : testing::Test {
  BackendReport report(BackendStage Stage) const {
    return {.Instance = "i-1",
            .Service = "stock",
            .Version = "1",
            .Address = "127.0.0.1",
            .Port = 80,
            .Stage = Stage,
            .Sequence = 1,
            .Born = 7};
  }

  Metrics Counts;
  LocalBackend Backend;
  Sidecar Own{{.Run = 5, .LedgerEntries = 64}, Backend, Counts};
  std::vector<BackendReport> Written;
  // Happens once, during the next write.
  std::function<void()> OnWrite;
  bool StoreIsUp = true;
  bool StoreHasReport = false;
  Announcer Tested{{.Persist =
                        [this](const BackendReport &Report) {
                          if (const auto Event = std::exchange(OnWrite, {})) {
                            Event();
                          }
                          if (StoreIsUp) {
                            Written.push_back(Report);
                          }
                          return StoreIsUp;
                        },
                    .IsStored =
                        [this](const BackendReport &) {
                          return StoreIsUp ? std::optional(StoreHasReport)
                                           : std::nullopt;
                        }},
                   nativeDialect(),
                   Own,
                   Backend};
};

// Guards against a backend server that said it leaves and that its node, after
// a restart, takes for ready, because the store lost the report.
TEST_F(AnnouncerTest, LostReportIsStoredAgain) {
  (void)Tested.applyReport(report(BackendStage::Ready), now());
  (void)Tested.applyReport(report(BackendStage::Left), now());
  EXPECT_TRUE(Tested.storeAgain());
  EXPECT_TRUE(Tested.storeAgain());
  ASSERT_EQ(Written.size(), 2U);
  EXPECT_EQ(Written[1].Stage, BackendStage::Left);
}

// Guards against a write of every node after each loss of the store, also of
// those whose report is in the copy.
TEST_F(AnnouncerTest, ReportInTheCopyIsNotStoredAgain) {
  EXPECT_TRUE(Tested.storeAgain());
  (void)Tested.applyReport(report(BackendStage::Ready), now());
  StoreHasReport = true;
  EXPECT_TRUE(Tested.storeAgain());
  EXPECT_TRUE(Written.empty());
}

// Guards against an earlier report that is written over the leave report while
// both are being stored. A node that restarts then takes the server for ready.
TEST_F(AnnouncerTest, NoReportIsWrittenOverALaterOne) {
  std::future<bool> Second;
  (void)Tested.applyReport(report(BackendStage::Ready), now());
  OnWrite = [this, &Second] {
    (void)Tested.applyReport(report(BackendStage::Left), now());
    Second =
        std::async(std::launch::async, [this] { return Tested.storeAgain(); });
    // Time in which a write that does not wait for this one would end.
    (void)Second.wait_for(std::chrono::milliseconds(200));
  };
  EXPECT_TRUE(Tested.storeAgain());
  EXPECT_TRUE(Second.get());
  ASSERT_FALSE(Written.empty());
  EXPECT_EQ(Written.back().Stage, BackendStage::Left);
  const auto FirstLeft = std::find_if(
      Written.begin(), Written.end(), [](const BackendReport &Report) {
        return Report.Stage == BackendStage::Left;
      });
  EXPECT_TRUE(std::all_of(FirstLeft, Written.end(), [](const auto &Report) {
    return Report.Stage == BackendStage::Left;
  }));
}

// Guards against a failed write that counts as done.
TEST_F(AnnouncerTest, FailedWriteIsReported) {
  (void)Tested.applyReport(report(BackendStage::Ready), now());
  (void)Tested.applyReport(report(BackendStage::Left), now());
  StoreIsUp = false;
  EXPECT_FALSE(Tested.storeAgain());
}

// Guards against a leave report that is overwritten by an earlier report whose
// write began before it.
TEST_F(AnnouncerTest, ReportDuringAWriteIsStoredAfterIt) {
  (void)Tested.applyReport(report(BackendStage::Ready), now());
  OnWrite = [this] {
    (void)Tested.applyReport(report(BackendStage::Left), now());
  };
  EXPECT_TRUE(Tested.storeAgain());
  ASSERT_EQ(Written.size(), 2U);
  EXPECT_EQ(Written[1].Stage, BackendStage::Left);
}

// Guards against writes to a store that rejects calls: a report that cannot be
// read is not taken for a lost one.
TEST_F(AnnouncerTest, UnreadableReportIsNotWritten) {
  (void)Tested.applyReport(report(BackendStage::Ready), now());
  StoreIsUp = false;
  bool Tried = false;
  OnWrite = [&Tried] { Tried = true; };
  EXPECT_FALSE(Tested.storeAgain());
  EXPECT_FALSE(Tried);
}

} // namespace
} // namespace magnolia::daemon
