#include "daemon/control/internal/control_core.h"

#include "daemon/control/clock.h"
#include "daemon/log/log.h"
#include "policy/core/epoch.h"
#include "policy/fleet/restore.h"
#include "settings/record/record_key.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

namespace magnolia::daemon::internal {

namespace {

constexpr std::chrono::milliseconds CallTimeout{2000};

} // namespace

void ControlCore::onStoreResult(store::WatchResult Result) {
  const policy::TimePoint Now = steadyNow();
  const std::uint64_t Epoch = policy::epochOf(Result.StoreRevision);
  checkStoreEpoch(Epoch, Now);
  applyContacts(Result);
  if (Result.Full) {
    restoreClusterKey(Result);
  }
  Config->onStoreResult(std::move(Result),
                        policy::hasSettled(Restore, Epoch, Now));
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
  if (Options.StoreReportAgain && policy::takeReportWrite(Restore, Now) &&
      !submitReportWrite()) {
    policy::repeatReportWrite(Restore, Now, Random);
  }
  if (policy::takeFullRead(Restore, Now) && Join.Watching &&
      !submitFullRead()) {
    policy::repeatFullRead(Restore, Now, Random);
  }
}

bool ControlCore::submitReportWrite() {
  return Store->submit([this](const store::StoreOperations &) {
    if (!Options.StoreReportAgain()) {
      Queue.post(
          [this] { policy::repeatReportWrite(Restore, steadyNow(), Random); });
    }
  });
}

bool ControlCore::submitFullRead() {
  return Store->submit([this](const store::StoreOperations &Operations) {
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

void ControlCore::restoreClusterKey(const store::WatchResult &Read) {
  // Without records from the start, the key is in a file and not in the store.
  if (!Options.StartRecords) {
    return;
  }
  const auto Held = std::find_if(Read.Events.begin(), Read.Events.end(),
                                 [](const store::WatchEvent &Next) {
                                   return Next.Key == settings::ClusterKeyKey;
                                 });
  const bool Found = Held != Read.Events.end();
  if (Found && Held->Value == Options.Key.Bytes) {
    return;
  }
  const std::uint64_t Epoch = policy::epochOf(Read.StoreRevision);
  const bool Write = policy::mustWriteClusterKey(
      Options.Key.Bytes, policy::epochOf(Options.StartRecords->StoreRevision),
      {.Value = Found ? std::string_view(Held->Value) : std::string_view(),
       .Epoch = Epoch});
  log(LogLevel::Error, "the store holds another cluster key or none",
      {{"era", Epoch}, {"found", Found}, {"written_again", Write}});
  if (!Write) {
    return;
  }
  Store->submit(
      [Own = store::PutRequest{.Key = std::string(settings::ClusterKeyKey),
                               .Value = Options.Key.Bytes,
                               .Expected = Found ? Held->ModRevision : 0}](
          const store::StoreOperations &Operations) {
        store::StoreError LastError;
        // After a conflict another node has written the key.
        (void)Operations.Put(Own, CallTimeout, LastError);
      });
}

} // namespace magnolia::daemon::internal
