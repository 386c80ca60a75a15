#include "daemon/control/task_queue.h"

#include <chrono>
#include <gtest/gtest.h>
#include <stdexcept>

namespace magnolia::daemon {
namespace {

// Guards against a burst of input that exhausts memory.
TEST(TaskQueue, RefusesOverItsCapacity) {
  TaskQueue Queue(2);
  EXPECT_TRUE(Queue.post([] {}));
  EXPECT_TRUE(Queue.post([] {}));
  EXPECT_FALSE(Queue.post([] {}));
  EXPECT_EQ(Queue.refused(), 1U);
}

// Guards against a caller that waits forever for a task that is dropped on
// close.
TEST(TaskQueue, RunsQueuedTasksAfterClose) {
  TaskQueue Queue(2);
  int Runs = 0;
  EXPECT_TRUE(Queue.post([&Runs] { ++Runs; }));
  Queue.close();
  EXPECT_FALSE(Queue.post([&Runs] { ++Runs; }));
  const auto Now = std::chrono::steady_clock::now();
  EXPECT_TRUE(Queue.runFor(Now));
  EXPECT_FALSE(Queue.runFor(Now));
  EXPECT_EQ(Runs, 1);
}

// Guards against one unforeseen value whose exception ends the process or the
// tasks after it.
TEST(TaskQueue, AThrowingTaskEndsAlone) {
  TaskQueue Queue(2);
  int Runs = 0;
  EXPECT_TRUE(Queue.post([] { throw std::out_of_range("no such member"); }));
  EXPECT_TRUE(Queue.post([&Runs] { ++Runs; }));
  EXPECT_TRUE(Queue.runFor(std::chrono::steady_clock::now()));
  EXPECT_EQ(Runs, 1);
}

} // namespace
} // namespace magnolia::daemon
