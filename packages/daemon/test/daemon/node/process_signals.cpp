#include "daemon/node/process_signals.h"

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>

namespace magnolia::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a signal that ends a process that is starting.
TEST(ProcessSignals, OnlyAStopEndsASleep) {
  const ProcessSignals Signals;
  ASSERT_EQ(std::raise(SIGHUP), 0);
  EXPECT_TRUE(Signals.sleep(milliseconds(1)));
  ASSERT_EQ(std::raise(SIGPIPE), 0);
  for (const int Stop : {SIGTERM, SIGINT}) {
    ASSERT_EQ(std::raise(Stop), 0);
    EXPECT_FALSE(Signals.sleep(seconds(10))) << Stop;
  }
  // A stop that arrives together with changed settings is not lost.
  ASSERT_EQ(std::raise(SIGTERM), 0);
  ASSERT_EQ(std::raise(SIGHUP), 0);
  EXPECT_FALSE(Signals.sleep(seconds(10)));
  EXPECT_TRUE(Signals.sleep(milliseconds(1)));
}

// Guards against a signal that is lost because nobody waited for it.
TEST(ProcessSignals, SignalsStayPending) {
  const ProcessSignals Signals;
  EXPECT_EQ(Signals.wait(milliseconds(1)), std::nullopt);
  ASSERT_EQ(std::raise(SIGHUP), 0);
  EXPECT_EQ(Signals.wait(seconds(10)), SIGHUP);
}

} // namespace
} // namespace magnolia::daemon
