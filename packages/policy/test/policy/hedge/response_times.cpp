#include "policy/hedge/response_times.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;

// Time after which recorded response times count.
constexpr Duration Settling = 2 * ResponseTimes::SliceLength;

// Guards against a delay that is far from the response times.
TEST(ResponseTimes, QuantileIsWithinOneBin) {
  ResponseTimes Times;
  const TimePoint Now(std::chrono::seconds(10));
  for (int I = 1; I <= 1000; ++I) {
    recordTime(Times, milliseconds(I), Now);
  }
  for (const std::uint32_t Percent : {50U, 90U, 95U, 99U}) {
    const auto Found = quantile(Times, Percent, Now + Settling);
    ASSERT_TRUE(Found);
    EXPECT_GE(*Found, milliseconds(10 * Percent));
    EXPECT_LT(*Found, milliseconds(1135 * Percent / 100));
  }
}

// Guards against a delay from a few requests.
TEST(ResponseTimes, FewSamplesGiveNoQuantile) {
  const TimePoint Now(std::chrono::seconds(10));
  for (const std::uint32_t Count :
       {ResponseTimes::MinSamples - 1, ResponseTimes::MinSamples}) {
    ResponseTimes Times;
    for (std::uint32_t I = 0; I < Count; ++I) {
      recordTime(Times, milliseconds(5), Now);
    }
    EXPECT_EQ(quantile(Times, 95, Now + Settling).has_value(),
              Count == ResponseTimes::MinSamples);
  }
}

// Guards against a delay that is known only when the slice of the first
// response times has settled, and against a high quantile from a few of them.
TEST(ResponseTimes, FirstTimesCountAtOnce) {
  struct Row {
    std::uint32_t Percent;
    std::uint32_t Enough;
  };
  const TimePoint Now(std::chrono::seconds(10));
  for (const Row &Wanted : {Row{50, 50}, Row{95, 50}, Row{99, 250}}) {
    ResponseTimes Times;
    for (std::uint32_t I = 1; I <= Wanted.Enough; ++I) {
      EXPECT_FALSE(quantile(Times, Wanted.Percent, Now)) << I;
      recordTime(Times, milliseconds(10), Now);
    }
    ASSERT_TRUE(quantile(Times, Wanted.Percent, Now)) << Wanted.Percent;
    EXPECT_LT(*quantile(Times, Wanted.Percent, Now), milliseconds(12));
  }
}

// Guards against a delay from times of the past on a route with few requests.
TEST(ResponseTimes, FirstTimesLeaveTheWindow) {
  ResponseTimes Times;
  const TimePoint Start(std::chrono::seconds(10));
  const Duration Window = ResponseTimes::Slices * ResponseTimes::SliceLength;
  for (Duration At{}; At < Window; At += milliseconds(700)) {
    recordTime(Times, milliseconds(10), Start + At);
  }
  EXPECT_TRUE(quantile(Times, 95, Start + Window - milliseconds(1)));
  EXPECT_FALSE(quantile(Times, 95, Start + Window));
}

// Guards against a service that counts as fast because it is compared with the
// response times of the same seconds.
TEST(ResponseTimes, LatestTimesDoNotCountYet) {
  ResponseTimes Times;
  TimePoint Now(std::chrono::seconds(10));
  for (int I = 0; I < 200; ++I) {
    recordTime(Times, milliseconds(10), Now);
  }
  Now += Settling;
  for (int I = 0; I < 200; ++I) {
    recordTime(Times, milliseconds(1000), Now);
  }
  Now += ResponseTimes::SliceLength;
  EXPECT_LT(*quantile(Times, 99, Now), milliseconds(20));
  Now += ResponseTimes::SliceLength;
  EXPECT_GT(*quantile(Times, 99, Now), milliseconds(900));
}

// Guards against times of the past that keep the delay long, and against counts
// that are subtracted twice after a pause.
TEST(ResponseTimes, WindowSlides) {
  ResponseTimes Times;
  TimePoint Now(std::chrono::seconds(10));
  for (int Second = 0; Second < 200; ++Second) {
    for (int I = 0; I < 10; ++I) {
      recordTime(Times, milliseconds(Second < 100 ? 1000 : 10), Now);
    }
    Now += std::chrono::seconds(1);
  }
  EXPECT_LT(*quantile(Times, 99, Now), milliseconds(20));
  EXPECT_LE(Times.Samples, 400U);
  EXPECT_FALSE(quantile(Times, 99, Now + std::chrono::hours(1)));
  EXPECT_EQ(Times.Samples, 0U);
  EXPECT_EQ(Times.Settled, ResponseTimes::Row{});
}

// Guards against an index outside of the table.
TEST(ResponseTimes, ExtremeTimesAreKept) {
  ResponseTimes Times;
  const TimePoint Now(std::chrono::seconds(10));
  for (std::uint32_t I = 0; I < ResponseTimes::MinSamples; ++I) {
    recordTime(Times, Duration(-1), Now);
    recordTime(Times, std::chrono::hours(1), Now);
  }
  EXPECT_LE(*quantile(Times, 1, Now + Settling), milliseconds(2));
  EXPECT_GE(*quantile(Times, 100, Now), std::chrono::seconds(100));
}

} // namespace
} // namespace magnolia::policy
