#include "upload_replay.h"

#include <gtest/gtest.h>

#include <numeric>

namespace magnolia::policy {
namespace {

using test::UploadReplay;

constexpr std::chrono::seconds Length(60);

// Load pattern: 18 uploads of 60 KB per second in a zone whose only server has
// a link of 10 Mbit/s. Guards against uploads that stay in the zone until its
// link is saturated, so that connections to its node time out.
TEST(UploadLinks, LocalLinkIsNotSaturated) {
  double DelayedBefore = 0;
  double DelayedAfter = 0;
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    const auto Before = UploadReplay(false, Seed).run(Length);
    EXPECT_GT(Before.LargestUse, 90);
    DelayedBefore += Before.Delayed;
    const auto After = UploadReplay(true, Seed).run(Length);
    EXPECT_LT(After.LargestUse, 85);
    DelayedAfter += After.Delayed;
    // The local server still takes most of the uploads.
    EXPECT_GT(After.MeanUse, 55);
  }
  EXPECT_LT(DelayedAfter * 3, DelayedBefore);
}

// Guards against entry nodes that all send the rest to the same server, whose
// link would be the next one to saturate.
TEST(UploadLinks, OtherZonesShareTheRest) {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    const auto After = UploadReplay(true, Seed).run(Length);
    const int Rest =
        std::accumulate(After.Uploads.begin() + 2, After.Uploads.end(), 0);
    EXPECT_GT(Rest, 200);
    for (NodeId Node = 2; Node <= UploadReplay::Servers; ++Node) {
      EXPECT_GT(After.Uploads[Node], 0);
      EXPECT_LT(After.Uploads[Node], Rest / 2);
    }
    EXPECT_LT(After.LargestBurst * UploadReplay::UploadBytes,
              UploadReplay::LinkBytesPerSecond / 2);
  }
}

} // namespace
} // namespace magnolia::policy
