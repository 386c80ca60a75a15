#include "policy/hedge/response_times.h"

#include <boost/histogram/axis/regular.hpp>

#include <algorithm>

namespace magnolia::policy {

namespace {

using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

constexpr double LowestSeconds = 0.001;
constexpr double HighestSeconds = 120.0;

const Axis &binAxis() {
  static const Axis Bins(ResponseTimes::Bins, LowestSeconds, HighestSeconds);
  return Bins;
}

// Adds a slice to those that count for quantiles, or removes it.
void settle(ResponseTimes &Times, std::size_t Slice, bool Adds) {
  for (std::size_t Bin = 0; Bin < ResponseTimes::Bins; ++Bin) {
    const std::uint32_t Count = Times.Counts[Slice][Bin];
    Times.Settled[Bin] += Adds ? Count : -Count;
    Times.Samples += Adds ? Count : -Count;
  }
}

// Makes the slice of the time Now the current one and empties those that have
// left the window.
void rotate(ResponseTimes &Times, TimePoint Now) {
  constexpr std::size_t Slices = ResponseTimes::Slices;
  if (Times.SliceStart == TimePoint{}) {
    Times.SliceStart = Now;
    return;
  }
  if (Now - Times.SliceStart < ResponseTimes::SliceLength) {
    return;
  }
  const auto Passed = (Now - Times.SliceStart) / ResponseTimes::SliceLength;
  Times.SliceStart += Passed * ResponseTimes::SliceLength;
  // After more steps than this all slices are empty.
  const auto Steps = std::min<std::int64_t>(Passed, std::int64_t{Slices} + 1);
  for (std::int64_t I = 0; I < Steps; ++I) {
    settle(Times, (Times.Current + Slices - 1) % Slices, true);
    Times.Current = (Times.Current + 1) % Slices;
    settle(Times, Times.Current, false);
    Times.Counts[Times.Current].fill(0);
  }
}

} // namespace

void recordTime(ResponseTimes &Times, Duration Length, TimePoint Now) {
  rotate(Times, Now);
  const int Found = binAxis().index(
      std::max(LowestSeconds, std::chrono::duration<double>(Length).count()));
  constexpr int LastBin = static_cast<int>(ResponseTimes::Bins) - 1;
  const auto Bin = static_cast<std::size_t>(std::clamp(Found, 0, LastBin));
  ++Times.Counts[Times.Current][Bin];
}

std::optional<Duration> quantile(ResponseTimes &Times, std::uint32_t Percent,
                                 TimePoint Now) {
  rotate(Times, Now);
  if (Times.Samples < ResponseTimes::MinSamples) {
    return std::nullopt;
  }
  constexpr std::uint64_t Whole = 100;
  const std::uint64_t Rank =
      (std::uint64_t{Times.Samples} * Percent + Whole - 1) / Whole;
  std::uint64_t Sum = 0;
  std::size_t Bin = 0;
  while (Bin + 1 < ResponseTimes::Bins && (Sum += Times.Settled[Bin]) < Rank) {
    ++Bin;
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      binAxis().value(static_cast<int>(Bin) + 1)));
}

} // namespace magnolia::policy
