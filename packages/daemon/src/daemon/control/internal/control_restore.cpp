#include "daemon/control/internal/control_core.h"

#include "daemon/control/clock.h"
#include "daemon/log/log.h"
#include "policy/core/epoch.h"
#include "policy/fleet/restore.h"

#include <chrono>
#include <utility>

namespace magnolia::daemon::internal {

namespace {

constexpr std::chrono::milliseconds CallTimeout{2000};

} // namespace

void ControlCore::onStoreResult(const store::WatchResult &Result) {
  const policy::TimePoint Now = steadyNow();
  const std::uint64_t Epoch = policy::epochOf(Result.StoreRevision);
  checkStoreEpoch(Epoch, Now);
  applyContacts(Result);
  Config->onStoreResult(Result, policy::hasSettled(Restore, Epoch, Now));
}

// Every node learns the epoch from its configuration, because the watchers push
// all entries again when the store was restored from a copy.
void ControlCore::checkStoreEpoch(std::uint64_t Epoch, policy::TimePoint Now) {
  const std::uint64_t Before = Restore.Epoch.value_or(0);
  if (policy::onEpoch(Restore, Epoch, Now, Random)) {
    log(LogLevel::Warning, "store restored from a copy",
        {{"era", Epoch}, {"before", Before}});
    Join.NextContactWrite = Now;
  }
}

// Writes again what this node had written and the store may have lost. Once
// operators had the time to do the same, a watcher reads which of their keys
// are gone for good.
void ControlCore::writeLostRecords(policy::TimePoint Now) {
  if (Options.StoreReportAgain && policy::takeReportWrite(Restore, Now)) {
    Store->submit([this](const store::StoreOperations &) {
      if (!Options.StoreReportAgain()) {
        Queue.post([this] {
          policy::repeatReportWrite(Restore, steadyNow(), Random);
        });
      }
    });
  }
  if (policy::takeFullRead(Restore, Now) && Join.Watching) {
    Store->submit([this](const store::StoreOperations &Operations) {
      store::StoreError LastError;
      auto Range = Operations.Range({}, CallTimeout, LastError);
      Queue.post([this, Range = std::move(Range)]() mutable {
        if (Range) {
          onStoreResult(store::asWatchResult(*std::move(Range)));
        } else {
          policy::repeatFullRead(Restore, steadyNow(), Random);
        }
      });
    });
  }
}

} // namespace magnolia::daemon::internal
