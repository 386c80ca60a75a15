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

// Receives what a watch of the whole store returned. Runs on the watch thread.
using WatchHandler = std::function<void(store::WatchResult Result)>;
// Work on the store. Runs on the job thread and may block for its timeouts.
using StoreJob = std::function<void(const store::StoreOperations &Store)>;

// Keeps the blocking calls to the store off the control thread: one thread
// holds the watch of a watcher node, one runs the other calls in order.
class StoreWorker {
public:
  StoreWorker(store::StoreOperations Store, WatchHandler Handler,
              std::uint64_t Seed, std::optional<store::Revision> Known = {});
  StoreWorker(const StoreWorker &) = delete;
  StoreWorker &operator=(const StoreWorker &) = delete;
  ~StoreWorker();

  // Starts or ends the watch; without a known revision it begins with
  // everything the store holds.
  void setWatching(bool On);

  // Queues a job. Returns false where too many wait.
  bool submit(StoreJob Job);

  [[nodiscard]] bool isWatching() const;
  // True where the last call of the watch succeeded.
  [[nodiscard]] bool isStoreUp() const { return StoreUp; }
  [[nodiscard]] std::uint64_t refusedJobs() const { return Jobs.refused(); }
  [[nodiscard]] const store::CallCounts &counts() const {
    return *Store.Counts;
  }

private:
  void watchLoop();
  void jobLoop();
  // One watch or, after a failure, one full read. False where it failed.
  bool watchOnce(std::optional<store::Revision> &After,
                 store::StoreError &LastError);
  void logChange(bool Up, int Failures, const store::StoreError &Reason) const;
  bool waitUntilWatching();
  void pauseAfterFailure(int Failures);

  const store::StoreOperations Store;
  const WatchHandler Handler;
  // Revision of what the node has read before; its watch goes on from there.
  const std::optional<store::Revision> Known;
  policy::RandomEngine Random;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  bool Watching = false;
  bool Stopping = false;
  std::atomic<bool> StoreUp = false;
  TaskQueue Jobs;
  std::thread Watcher;
  std::thread Runner;
};

} // namespace magnolia::daemon

#endif
