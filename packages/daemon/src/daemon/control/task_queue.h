#ifndef DAEMON_CONTROL_TASK_QUEUE_H
#define DAEMON_CONTROL_TASK_QUEUE_H

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>

namespace magnolia::daemon {

using Task = std::function<void()>;

// Bounded task queue for one consumer thread. A full queue refuses new tasks
// and counts them, so that a burst of input cannot exhaust memory.
class TaskQueue {
public:
  explicit TaskQueue(std::size_t Capacity) : Capacity(Capacity) {}

  // Adds a task. Returns false if the queue is full or closed.
  bool post(Task Work);

  // Waits until the given time for a task and runs all queued tasks. Returns
  // false once the queue is closed and empty. A task that throws is logged and
  // does not end the others.
  bool runFor(std::chrono::steady_clock::time_point Until);

  // Refuses further tasks and wakes the consumer.
  void close();

  [[nodiscard]] std::uint64_t refused() const;
  [[nodiscard]] std::size_t size() const;

private:
  const std::size_t Capacity;
  mutable std::mutex Mutex;
  std::condition_variable Ready;
  std::deque<Task> Tasks;
  std::uint64_t Refused = 0;
  bool Closed = false;
};

} // namespace magnolia::daemon

#endif
