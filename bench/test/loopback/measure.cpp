#include "measure.h"

#include <gtest/gtest.h>
#include <limits>
#include <sstream>

namespace magnolia::bench {
namespace {

TEST(Measure, PercentileIsTheNearestRank) {
  // Guards against a percentile that omits the slowest call.
  std::vector<double> Samples;
  for (int Value = 100; Value >= 1; --Value) {
    Samples.push_back(Value);
  }
  EXPECT_EQ(percentile(Samples, 0.99), 99);
  EXPECT_EQ(percentile(Samples, 1.0), 100);
  EXPECT_EQ(percentile(Samples, 0.5), 50);
  EXPECT_EQ(percentile({7}, 0.99), 7);
  EXPECT_EQ(percentile({}, 0.99), 0);
}

TEST(Measure, HoldsUpToItsBoundOnly) {
  // Guards against a run that passes without samples.
  EXPECT_TRUE(atMost("x", 0.65, 0.65).Held);
  EXPECT_FALSE(atMost("x", 0.66, 0.65).Held);
  EXPECT_FALSE(
      atMost("x", std::numeric_limits<double>::quiet_NaN(), 0.65).Held);
}

TEST(Measure, PrintsOneJsonLine) {
  // Guards against lines that the capacity and demo scripts can't read.
  std::ostringstream Out;
  print(Out, atMost("a", 2, 1));
  print(Out, figure("b", 3));
  EXPECT_EQ(Out.str(),
            "{\"measure\":\"a\",\"value\":2.0,\"bound\":1.0,\"held\":false}\n"
            "{\"measure\":\"b\",\"value\":3.0,\"bound\":null,\"held\":null}\n");
}

} // namespace
} // namespace magnolia::bench
