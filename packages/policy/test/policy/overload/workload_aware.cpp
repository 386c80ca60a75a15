#include "policy/overload/workload_aware.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

// Guards against a deployment without the setting that is served differently,
// and against one with bulk routes in which auto stays off.
TEST(WorkloadAware, FollowsTheSettingAndTheRoutes) {
  for (const bool HasBulkRoutes : {false, true}) {
    EXPECT_FALSE(isWorkloadAware(workloadSettingOf("off"), HasBulkRoutes));
    EXPECT_FALSE(isWorkloadAware(workloadSettingOf(""), HasBulkRoutes));
    EXPECT_TRUE(isWorkloadAware(workloadSettingOf("on"), HasBulkRoutes));
    EXPECT_EQ(isWorkloadAware(workloadSettingOf("auto"), HasBulkRoutes),
              HasBulkRoutes);
  }
}

} // namespace
} // namespace magnolia::policy
