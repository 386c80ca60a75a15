#include "daemon/announce/report_store.h"

#include "daemon/announce/report_cleanup.h"
#include "policy/announce/backend_report.h"
#include "settings/record/backend_record.h"
#include "settings/record/record_key.h"
#include "store/core/put_request.h"
#include "store/core/store_error.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace magnolia::daemon {
namespace {

using policy::BackendReport;
using policy::BackendStage;
using std::chrono::milliseconds;

BackendReport report(BackendStage Stage) {
  return {.Instance = "i-1",
          .Service = "stock",
          .Version = "1",
          .Address = "127.0.0.1",
          .Port = 80,
          .Stage = Stage,
          .Sequence = 1,
          .Born = 7};
}

// Store with one entry, which counts the calls.
struct CountingStore {
  [[nodiscard]] store::StoreOperations operations() {
    store::StoreOperations Made;
    Made.GrantLease = [this](milliseconds, milliseconds, store::StoreError &) {
      ++Calls;
      return std::optional<store::LeaseId>(5);
    };
    Made.Put =
        [this](const store::PutRequest &Request, milliseconds,
               store::StoreError &LastError) -> std::optional<store::Revision> {
      ++Calls;
      if (Request.Expected != Held) {
        LastError = {store::StoreErrorKind::Conflict, "conflict", Held};
        return std::nullopt;
      }
      Leases.push_back(Request.Lease);
      return Held += 10;
    };
    return Made;
  }

  store::Revision Held = 0;
  int Calls = 0;
  std::vector<store::LeaseId> Leases;
};

// Guards against several calls to the store for each change of a report, which
// a fleet of hundreds of nodes pays for at each start.
TEST(ReportStore, AChangeCostsOneCall) {
  CountingStore Store;
  ReportStore Tested(Store.operations());
  EXPECT_TRUE(Tested.write(report(BackendStage::Ready)));
  EXPECT_EQ(Store.Calls, 1);
  BackendReport Restarted = report(BackendStage::Ready);
  Restarted.Born = 8;
  EXPECT_TRUE(Tested.write(Restarted));
  EXPECT_EQ(Store.Calls, 2);
}

// Guards against a call that a node wastes after its restart because it does
// not use the revision that it has just read.
TEST(ReportStore, UsesTheRevisionFromTheStart) {
  CountingStore Store;
  Store.Held = 40;
  ReportStore Tested(Store.operations());
  Tested.setRevision(settings::backendKey("127.0.0.1", 80), 40);
  EXPECT_TRUE(Tested.write(report(BackendStage::Ready)));
  EXPECT_EQ(Store.Calls, 1);
}

// Guards against a report that is lost because the entry was changed since, for
// example by an earlier write whose response did not arrive.
TEST(ReportStore, WritesOverAnEntryThatChanged) {
  CountingStore Store;
  ReportStore Tested(Store.operations());
  EXPECT_TRUE(Tested.write(report(BackendStage::Ready)));
  Store.Held += 1;
  EXPECT_TRUE(Tested.write(report(BackendStage::Draining)));
}

// Guards against a report that is never stored again after the store was
// restored from a copy: a revision from before is refused without a call and
// without the present one.
TEST(ReportStore, WritesAfterTheStoreWasRestored) {
  CountingStore Store;
  store::StoreOperations Operations = Store.operations();
  const store::Revision Before = 40;
  Operations.Put =
      [&Before, Put = Operations.Put](
          const store::PutRequest &Request, milliseconds Timeout,
          store::StoreError &LastError) -> std::optional<store::Revision> {
    if (Request.Expected == Before) {
      LastError = {store::StoreErrorKind::Conflict, "from an earlier epoch"};
      return std::nullopt;
    }
    return Put(Request, Timeout, LastError);
  };
  ReportStore Tested(std::move(Operations));
  Tested.setRevision(settings::backendKey("127.0.0.1", 80), Before);
  Store.Held = 100;
  EXPECT_TRUE(Tested.write(report(BackendStage::Draining)));
}

// Guards against a server that left and is in use again, because its entry was
// lost with a lease in an outage of the store.
TEST(ReportStore, NoEntryEndsWithALease) {
  CountingStore Store;
  ReportStore Tested(Store.operations());
  EXPECT_TRUE(Tested.write(report(BackendStage::Ready)));
  EXPECT_TRUE(Tested.write(report(BackendStage::Draining)));
  EXPECT_TRUE(Tested.write(report(BackendStage::Left)));
  EXPECT_EQ(Store.Leases, (std::vector<store::LeaseId>{0, 0, 0}));
}

// Guards against a leave before the first heartbeat whose entry no restarted
// node can read.
TEST(ReportStore, LeaveWithoutAServiceIsReadable) {
  BackendReport Left = report(BackendStage::Left);
  Left.Service.clear();
  Left.LeftAt = policy::TimePoint(milliseconds(1'700'000'000'123));
  policy::Error LastError;
  const auto Read =
      settings::parseBackend(settings::formatBackend(Left), LastError);
  ASSERT_TRUE(Read) << LastError.Detail;
  EXPECT_EQ(Read->Stage, BackendStage::Left);
  EXPECT_EQ(Read->LeftAt, Left.LeftAt);
}

// Guards against entries of servers that have left and stay in the store, and
// against the removal of those that are needed or were written again.
TEST(ReportCleanup, RemovesReportsOfServersThatLeftLongAgo) {
  const policy::TimePoint Now{std::chrono::hours(1000)};
  BackendReport Old = report(BackendStage::Left);
  Old.LeftAt = Now - std::chrono::hours(1);
  BackendReport Recent = Old;
  Recent.LeftAt = Now - std::chrono::minutes(1);
  const store::RangeResult Held{
      .Entries = {
          {.Key = "old",
           .Value = settings::formatBackend(Old),
           .ModRevision = 1},
          {.Key = "again",
           .Value = settings::formatBackend(Old),
           .ModRevision = 2},
          {.Key = "recent",
           .Value = settings::formatBackend(Recent),
           .ModRevision = 3},
          {.Key = "ready",
           .Value = settings::formatBackend(report(BackendStage::Ready)),
           .ModRevision = 4},
          {.Key = "unreadable", .Value = "{", .ModRevision = 5}}};
  std::vector<std::string> Deleted;
  store::StoreOperations Store;
  Store.Range = [&Held](std::string_view, milliseconds, store::StoreError &) {
    return std::optional(Held);
  };
  Store.Delete =
      [&Deleted](std::string_view Key, store::Revision, milliseconds,
                 store::StoreError &) -> std::optional<store::Revision> {
    if (Key == "again") {
      return std::nullopt;
    }
    Deleted.emplace_back(Key);
    return store::Revision{10};
  };
  EXPECT_EQ(removeObsoleteReports(Store, Now), 1U);
  EXPECT_EQ(Deleted, std::vector<std::string>{"old"});
}

} // namespace
} // namespace magnolia::daemon
