#ifndef DAEMON_CONTROL_STORE_WORKER_H
#define DAEMON_CONTROL_STORE_WORKER_H

#include "daemon/control/task_queue.h"
#include "policy/core/types.h"
#include "store/core/store_operations.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace magnolia::daemon {

// Receives the result of a watch on all keys. Runs on the watch thread.
using WatchHandler = std::function<void(store::WatchResult Result)>;
// Job that calls the store. Runs on the job thread and may block until its
// calls time out.
using StoreJob = std::function<void(const store::StoreOperations &Store)>;

// Runs the blocking calls to the store outside of the control thread: one
// thread keeps the watch while this node is a watcher, another runs the jobs in
// order.
class StoreWorker {
public:
  StoreWorker(store::StoreOperations Store, WatchHandler Handler,
              std::uint64_t Seed,
              std::optional<store::Revision> KnownRevision = {});
  StoreWorker(const StoreWorker &) = delete;
  StoreWorker &operator=(const StoreWorker &) = delete;
  ~StoreWorker();

  // Starts or ends the watch. Without a known revision the watch starts with a
  // full read.
  void setWatching(bool On);

  // Queues a job. Returns false if the queue is full.
  bool submit(StoreJob Job);

  [[nodiscard]] bool isWatching() const;
  // Returns whether the last call of the watch succeeded.
  [[nodiscard]] bool isStoreUp() const { return StoreUp; }
  [[nodiscard]] std::uint64_t refusedJobs() const { return Jobs.refused(); }
  [[nodiscard]] const store::CallCounts &counts() const {
    return *Store.Counts;
  }

private:
  void watchLoop();
  void jobLoop();
  // Makes one watch call or, without a revision to start from, one full read.
  // Returns whether it succeeded.
  bool watchOnce(std::optional<store::Revision> &After,
                 store::StoreError &LastError);
  void logChange(bool Up, int Failures, const store::StoreError &Reason) const;
  // Logs the era of the store, which rises when it is restored from a copy, at
  // its first response and whenever it has risen.
  void logEpoch();
  [[nodiscard]] std::uint64_t newestEpoch() const;
  bool waitUntilWatching();
  void pauseAfterFailure(int Failures);

  const store::StoreOperations Store;
  const WatchHandler Handler;
  // Revision of the records that the node read at startup. The watch continues
  // from it.
  const std::optional<store::Revision> KnownRevision;
  policy::RandomEngine Random;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  bool Watching = false;
  bool Stopping = false;
  std::atomic<bool> StoreUp = false;
  // Used by the watch thread only.
  std::uint64_t LoggedEpoch = 0;
  TaskQueue Jobs;
  std::thread Watcher;
  std::thread Runner;
};

} // namespace magnolia::daemon

#endif
