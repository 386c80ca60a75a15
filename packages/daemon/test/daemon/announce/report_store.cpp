#include "daemon/announce/report_store.h"

#include "policy/announce/backend_report.h"
#include "settings/record/record_key.h"
#include "store/core/put_request.h"
#include "store/core/store_error.h"

#include <gtest/gtest.h>

#include <chrono>
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

// Guards against entries of servers that have left and stay in the store.
TEST(ReportStore, TheEntryOfALeavingServerHasALease) {
  CountingStore Store;
  ReportStore Tested(Store.operations());
  EXPECT_TRUE(Tested.write(report(BackendStage::Ready)));
  EXPECT_TRUE(Tested.write(report(BackendStage::Draining)));
  EXPECT_TRUE(Tested.write(report(BackendStage::Left)));
  EXPECT_EQ(Store.Leases, (std::vector<store::LeaseId>{0, 5, 5}));
}

} // namespace
} // namespace magnolia::daemon
