#include "policy/link/received_bytes.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <utility>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(100)};
// Link of 10 Mbit/s.
constexpr double LinkBytesPerSecond = 10e6 / 8;

// Guards against bytes that are counted twice, lost, or kept after the window,
// also after pauses of any length. The count is compared with a list of all
// arrivals.
TEST(ReceivedBytes, CountFollowsTheArrivalsOfTheLastSecond) {
  RandomEngine Random(11);
  ReceivedBytes State;
  std::deque<std::pair<TimePoint, std::uint64_t>> Arrivals;
  TimePoint Now = Start;
  for (int I = 0; I < 20'000; ++I) {
    Now += milliseconds(Random() % (I % 100 == 0 ? 3'000 : 30));
    const std::uint64_t Bytes = Random() % 16'384;
    recordReceived(State, Bytes, Now);
    Arrivals.emplace_back(Now, Bytes);
    const TimePoint Asked = Now + milliseconds(Random() % 100);
    std::uint64_t AtLeast = 0;
    std::uint64_t AtMost = 0;
    for (const auto &[At, Size] : Arrivals) {
      const Duration Age = Asked - At;
      AtMost += Age < ReceivedBytes::Window ? Size : 0;
      AtLeast +=
          Age < ReceivedBytes::Window - ReceivedBytes::SlotLength ? Size : 0;
    }
    const std::uint64_t Counted = receivedInWindow(State, Asked);
    ASSERT_GE(Counted, AtLeast);
    ASSERT_LE(Counted, AtMost);
    while (Now - Arrivals.front().first > 2 * ReceivedBytes::Window) {
      Arrivals.pop_front();
    }
  }
}

// Guards against an arrival whose thread read the clock before another one, and
// which would clear or miss the newest slot.
TEST(ReceivedBytes, ArrivalsOutOfOrderAreCounted) {
  ReceivedBytes State;
  recordReceived(State, 100, Start);
  recordReceived(State, 10, Start - milliseconds(30));
  EXPECT_EQ(receivedInWindow(State, Start - milliseconds(30)), 110U);
  EXPECT_EQ(receivedInWindow(State, Start + milliseconds(900)), 110U);
  EXPECT_EQ(receivedInWindow(State, Start + milliseconds(1'100)), 0U);
}

// Guards against a wrong unit of the capacity, a division by an unknown one,
// and a stated capacity that is much too low.
TEST(ReceivedBytes, UseIsRelativeToTheCapacity) {
  ReceivedBytes State;
  recordReceived(State, 625'000, Start);
  EXPECT_EQ(linkUsePercent(State, LinkBytesPerSecond, Start), 50U);
  EXPECT_EQ(linkUsePercent(State, 0, Start), 0U);
  EXPECT_EQ(linkUsePercent(State, 1, Start), MaxLinkUsePercent);
}

} // namespace
} // namespace magnolia::policy
