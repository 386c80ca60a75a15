#ifndef POLICY_HEDGE_RESPONSE_TIMES_H
#define POLICY_HEDGE_RESPONSE_TIMES_H

#include "policy/core/types.h"

#include <array>
#include <cstddef>
#include <optional>

namespace magnolia::policy {

// Histogram of the response times of one route over a sliding window of Slices
// times SliceLength. The bins are logarithmic; a bin is 13 % wide. The current
// slice and the one before do not count for quantiles yet, so that a service
// that has become slow is compared with its usual response times. Until enough
// others have settled, the first response times of the window count instead.
// Later ones are left out, so that a service that becomes slow soon after the
// start is also compared with times from before.
struct ResponseTimes {
  static constexpr std::size_t Bins = 96;
  static constexpr std::size_t Slices = 8;
  static constexpr Duration SliceLength = std::chrono::seconds(5);
  // Number of response times from which a quantile is derived; below it, the
  // highest quantiles would depend on single requests.
  static constexpr std::uint32_t MinSamples = 50;

  // Maximum number of first response times.
  static constexpr std::uint32_t MaxFirst = 250;

  using Row = std::array<std::uint32_t, Bins>;

  std::array<Row, Slices> Counts{};
  // Sum of the slices that count for quantiles.
  Row Settled{};
  std::uint32_t Samples = 0;
  std::size_t Current = 0;
  // First response times since the window was empty, and the time from which
  // they count.
  Row First{};
  std::uint32_t FirstSamples = 0;
  TimePoint FirstAt{};
  // Start of the current slice; zero if unused.
  TimePoint SliceStart{};
};

void recordTime(ResponseTimes &Times, Duration Length, TimePoint Now);

// Returns the upper bound of the bin that holds the quantile, or nothing if the
// window has too few response times. Percent is from 1 to 100. Until MinSamples
// have settled, there must be MinSamples first response times and 2.5 above the
// quantile: 50 in all up to the 95th percentile, 250 for the 99th. Of 50
// response times, the 95th percentile is with 95 % confidence one that 1.3 to
// 13.7 % of the requests exceed. The limit of hedges bounds what an error
// within this range can cost.
[[nodiscard]] std::optional<Duration>
quantile(ResponseTimes &Times, std::uint32_t Percent, TimePoint Now);

} // namespace magnolia::policy

#endif
