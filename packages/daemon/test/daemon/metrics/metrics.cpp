#include "daemon/metrics/metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace magnolia::daemon {
namespace {

using testing::HasSubstr;

// Guards against counters and histograms that the text omits or miscounts.
TEST(Metrics, PrometheusText) {
  Metrics Counts;
  Counts.count(Counter::Hedges, 3);
  Counts.countError(policy::ErrorKind::Overloaded);
  Counts.time(Timing::Request, std::chrono::milliseconds(1));
  Counts.time(Timing::Request, std::chrono::nanoseconds(1));
  Counts.time(Timing::Request, std::chrono::hours(1));
  const std::string Text = Counts.prometheusText();
  EXPECT_THAT(Text, HasSubstr("\nmagnolia_hedges_total 3\n"));
  EXPECT_THAT(
      Text,
      HasSubstr("magnolia_errors_total{kind=\"Overloaded\",run=\"no\"} 1\n"));
  EXPECT_THAT(Text, HasSubstr("magnolia_request_seconds_count 3\n"));
  EXPECT_THAT(Text,
              HasSubstr("magnolia_request_seconds_bucket{le=\"+Inf\"} 3\n"));
}

} // namespace
} // namespace magnolia::daemon
