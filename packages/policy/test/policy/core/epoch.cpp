#include "policy/core/epoch.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

// Guards against a write after a restoration that is ordered before one from
// before it, although the store gave out a lower number.
TEST(Epoch, OrdersRevisionsAcrossARestoration) {
  EXPECT_LT(*revisionIn(1, 500), *revisionIn(2, 40));
  EXPECT_EQ(epochOf(*revisionIn(2, 40)), 2U);
  EXPECT_EQ(counterOf(*revisionIn(2, 40)), 40U);
  EXPECT_EQ(revisionIn(0, 40), 40U);
}

// Guards against a number that runs into the bits of the other one.
TEST(Epoch, RejectsWhatDoesNotFit) {
  EXPECT_TRUE(revisionIn(MaxEpoch, MaxCounter));
  EXPECT_FALSE(revisionIn(MaxEpoch + 1, 1));
  EXPECT_FALSE(revisionIn(1, MaxCounter + 1));
}

} // namespace
} // namespace magnolia::policy
