#include "backend/slot_state.h"

#include <gtest/gtest.h>

namespace magnolia::standin {
namespace {

using std::chrono::milliseconds;

TEST(SlotState, RefusesAboveItsSlots) {
  // Guards against a stand-in that does not report overload.
  SlotState State{.Slots = 2, .ColdStart = milliseconds(0)};
  EXPECT_TRUE(enter(State, milliseconds(1)));
  EXPECT_TRUE(enter(State, milliseconds(1)));
  EXPECT_FALSE(enter(State, milliseconds(1)));
  EXPECT_EQ(State.Overloads, 1U);
  leave(State, milliseconds(2));
  EXPECT_TRUE(enter(State, milliseconds(2)));
  EXPECT_EQ(State.MostInFlight, 2U);
}

TEST(SlotState, WarmsUpThroughWorkOnly) {
  // Guards against a cold start that ends while the server is idle.
  SlotState State{.Slots = 11, .ColdStart = milliseconds(1000)};
  EXPECT_EQ(capacity(State, milliseconds(50'000)), 1U);
  ASSERT_TRUE(enter(State, milliseconds(50'000)));
  EXPECT_EQ(capacity(State, milliseconds(50'500)), 6U);
  leave(State, milliseconds(50'500));
  EXPECT_EQ(capacity(State, milliseconds(90'000)), 6U);
  ASSERT_TRUE(enter(State, milliseconds(90'000)));
  EXPECT_EQ(capacity(State, milliseconds(90'500)), 11U);
}

TEST(SlotState, RestartIsColdAgain) {
  // Guards against a restart that keeps the capacity of a warm server.
  SlotState State{.Slots = 12, .ColdStart = milliseconds(100)};
  ASSERT_TRUE(enter(State, milliseconds(0)));
  ASSERT_EQ(capacity(State, milliseconds(200)), 12U);
  restart(State, milliseconds(200));
  EXPECT_EQ(capacity(State, milliseconds(200)), 1U);
  EXPECT_FALSE(enter(State, milliseconds(200)));
}

} // namespace
} // namespace magnolia::standin
