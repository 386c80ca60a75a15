#include "daemon/control/task_queue.h"

#include "daemon/log/guarded.h"

#include <utility>

namespace magnolia::daemon {

bool TaskQueue::post(Task Work) {
  {
    const std::lock_guard Lock(Mutex);
    if (Closed || Tasks.size() >= Capacity) {
      ++Refused;
      return false;
    }
    Tasks.push_back(std::move(Work));
  }
  Ready.notify_one();
  return true;
}

bool TaskQueue::runFor(std::chrono::steady_clock::time_point Until) {
  std::deque<Task> Batch;
  {
    std::unique_lock Lock(Mutex);
    Ready.wait_until(Lock, Until, [this] { return Closed || !Tasks.empty(); });
    if (Closed && Tasks.empty()) {
      return false;
    }
    Batch.swap(Tasks);
  }
  for (Task &Work : Batch) {
    (void)runGuarded("control task", Work);
  }
  return true;
}

void TaskQueue::close() {
  {
    const std::lock_guard Lock(Mutex);
    Closed = true;
  }
  Ready.notify_all();
}

std::uint64_t TaskQueue::refused() const {
  const std::lock_guard Lock(Mutex);
  return Refused;
}

std::size_t TaskQueue::size() const {
  const std::lock_guard Lock(Mutex);
  return Tasks.size();
}

} // namespace magnolia::daemon
