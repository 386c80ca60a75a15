#include "daemon/control/store_worker.h"

#include "daemon/log/guarded.h"

#include "policy/fleet/join.h"

#include <chrono>
#include <utility>

namespace magnolia::daemon {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t MaximumJobs = 64;
constexpr milliseconds WatchWait{25000};
constexpr milliseconds CallTimeout{2000};
// Maximum wait of the idle job thread. A new job or closing the queue wakes it
// at once.
constexpr milliseconds JobPoll{60'000};
// The empty prefix selects all keys, so that the initial read returns contacts
// and records as well. The watch reports only the writes of operators: nodes
// push the records that they write to each other, so that such a write does not
// wake all watchers.
constexpr std::string_view AllKeys;

} // namespace

StoreWorker::StoreWorker(store::StoreOperations Operations,
                         WatchHandler Handler, std::uint64_t Seed,
                         std::optional<store::Revision> KnownRevision)
    : Store(std::move(Operations)), Handler(std::move(Handler)),
      KnownRevision(KnownRevision), Random(Seed), Jobs(MaximumJobs),
      Watcher([this] { watchLoop(); }), Runner([this] { jobLoop(); }) {}

StoreWorker::~StoreWorker() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  Store.Close();
  Jobs.close();
  Watcher.join();
  Runner.join();
}

void StoreWorker::setWatching(bool On) {
  {
    const std::lock_guard Lock(Mutex);
    Watching = On;
  }
  Changed.notify_all();
}

bool StoreWorker::submit(StoreJob Job) {
  return Jobs.post([this, Job = std::move(Job)] { Job(Store); });
}

bool StoreWorker::isWatching() const {
  const std::lock_guard Lock(Mutex);
  return Watching;
}

void StoreWorker::watchLoop() {
  std::optional<store::Revision> After = KnownRevision;
  int Failures = 0;
  while (waitUntilWatching()) {
    store::StoreError LastError;
    bool Up = false;
    const bool Ended =
        runGuarded("store watch", [&] { Up = watchOnce(After, LastError); });
    Up = Up && Ended;
    logEpoch();
    logChange(Up, Failures, LastError);
    StoreUp = Up;
    if (Up) {
      Failures = 0;
      continue;
    }
    // A full read follows a failed watch, so that no change is lost.
    After.reset();
    pauseAfterFailure(++Failures);
  }
}

void StoreWorker::logChange(bool Up, int Failures,
                            const store::StoreError &Reason) const {
  if (Up && Failures > 0) {
    log(LogLevel::Info, "store regained",
        {{"failures", static_cast<std::uint64_t>(Failures)},
         {"era", newestEpoch()}});
  } else if (!Up && Failures == 0) {
    log(LogLevel::Warning, "store lost",
        {{"kind", store::toString(Reason.Kind)},
         {"reason", std::string_view(Reason.Detail)},
         {"era", newestEpoch()}});
  }
}

void StoreWorker::logEpoch() {
  const std::uint64_t Epoch = newestEpoch();
  if (Epoch <= LoggedEpoch) {
    return;
  }
  log(LogLevel::Info, "store era", {{"era", Epoch}, {"before", LoggedEpoch}});
  LoggedEpoch = Epoch;
}

std::uint64_t StoreWorker::newestEpoch() const {
  return Store.NewestEpoch ? Store.NewestEpoch() : 0;
}

bool StoreWorker::watchOnce(std::optional<store::Revision> &After,
                            store::StoreError &LastError) {
  if (!After) {
    std::optional<store::RangeResult> Range =
        Store.Range(AllKeys, CallTimeout, LastError);
    if (!Range) {
      return false;
    }
    After = Range->StoreRevision;
    Handler(store::asWatchResult(*std::move(Range)));
    return true;
  }
  std::optional<store::WatchResult> Result =
      Store.Watch({.Prefix = std::string(AllKeys),
                   .After = *After,
                   .OperatorOnly = true,
                   .Wait = WatchWait},
                  CallTimeout, LastError);
  if (!Result || Result->StoreRevision < *After) {
    return false;
  }
  After = Result->StoreRevision;
  if (!Result->Events.empty() || Result->Full) {
    Handler(*std::move(Result));
  }
  return true;
}

bool StoreWorker::waitUntilWatching() {
  std::unique_lock Lock(Mutex);
  Changed.wait(Lock, [this] { return Stopping || Watching; });
  return !Stopping;
}

void StoreWorker::pauseAfterFailure(int Failures) {
  const policy::Duration Pause = policy::storeBackoff(Failures, Random);
  std::unique_lock Lock(Mutex);
  Changed.wait_for(Lock, Pause, [this] { return Stopping; });
}

void StoreWorker::jobLoop() {
  while (Jobs.runFor(std::chrono::steady_clock::now() + JobPoll)) {
  }
}

} // namespace magnolia::daemon
