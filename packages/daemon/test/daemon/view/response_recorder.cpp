#include "daemon/view/response_recorder.h"

#include "daemon/view/service_view.h"
#include "daemon/view/share_overrides.h"
#include "daemon/view/view_holder.h"

#include <gtest/gtest.h>

namespace magnolia::daemon {
namespace {

using std::chrono::microseconds;

// Guards against a latency that is counted in the wrong bucket.
TEST(ResponseRecorder, BucketBounds) {
  EXPECT_EQ(latencyBucketOf(microseconds(99)), 0U);
  EXPECT_EQ(latencyBucketOf(microseconds(100)), 1U);
  EXPECT_EQ(latencyBucketOf(microseconds(199)), 1U);
  EXPECT_EQ(latencyBucketOf(microseconds(200)), 2U);
  EXPECT_EQ(latencyBucketOf(std::chrono::hours(24)), LatencyBucketCount - 1);
}

// Guards against samples that are lost, counted twice or attributed to another
// version, and against a table that grows without bound.
TEST(ResponseRecorder, CountsPerVersionUpToTheMaximum) {
  ResponseRecorder Recorder(2);
  int HookCalls = 0;
  Recorder.setHook([&HookCalls](const ResponseSample &) { ++HookCalls; });
  ResponseSample Sample{.Service = "s", .Route = "/", .Version = "1"};
  Recorder.record(Sample);
  Sample.Failed = true;
  Recorder.record(Sample);
  Sample.Version = "2";
  Recorder.record(Sample);
  Sample.Version = "3";
  Recorder.record(Sample);
  EXPECT_EQ(HookCalls, 4);
  EXPECT_EQ(Recorder.dropped(), 1U);
  const auto Counts = Recorder.drain();
  ASSERT_EQ(Counts.size(), 2U);
  EXPECT_EQ(Counts[0].Requests, 2U);
  EXPECT_EQ(Counts[0].Failures, 1U);
  EXPECT_EQ(Counts[1].Requests, 1U);
  EXPECT_TRUE(Recorder.drain().empty());
}

// Guards against a non-idempotent request that is classified as idempotent.
TEST(ServiceView, IdempotencyOfRules) {
  ServiceView View;
  View.Rules.resize(2);
  View.Rules[0].PathPrefix = "/";
  View.Rules[0].IdempotentMethods = {"GET", "PUT"};
  View.Rules[1].PathPrefix = "/hold";
  View.Rules[1].Idempotent = false;
  EXPECT_TRUE(isIdempotent(findRule(View, "/browse"), "PUT"));
  EXPECT_FALSE(isIdempotent(findRule(View, "/browse"), "POST"));
  EXPECT_FALSE(isIdempotent(findRule(View, "/hold/7"), "GET"));
  EXPECT_TRUE(isIdempotent(nullptr, "GET"));
  EXPECT_FALSE(isIdempotent(nullptr, "PUT"));
}

// Guards against a new view that is mistaken for an older one.
TEST(ViewHolder, EachViewHasAHigherSequence) {
  ViewHolder Holder;
  const auto First = Holder.current();
  Holder.publish({});
  EXPECT_GT(Holder.current()->Sequence, First->Sequence);
}

// Guards against a share override that has no effect or cannot be removed.
TEST(ShareOverrides, BlockAndRestore) {
  ShareOverrides Overrides;
  EXPECT_FALSE(Overrides.isBlocked("s", "2"));
  Overrides.block("s", "2");
  EXPECT_TRUE(Overrides.isBlocked("s", "2"));
  EXPECT_FALSE(Overrides.isBlocked("s", "1"));
  Overrides.restore("s", "2");
  EXPECT_FALSE(Overrides.isBlocked("s", "2"));
}

} // namespace
} // namespace magnolia::daemon
