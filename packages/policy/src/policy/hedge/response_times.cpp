#include "policy/hedge/response_times.h"

#include <boost/histogram/axis/regular.hpp>

#include <algorithm>
#include <cmath>

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

void restartFirst(ResponseTimes &Times, TimePoint Now) {
  Times.First.fill(0);
  Times.FirstSamples = 0;
  Times.FirstAt = Now;
}

// Makes the slice of the time Now the current one and empties those that have
// left the window.
void rotate(ResponseTimes &Times, TimePoint Now) {
  constexpr std::size_t Slices = ResponseTimes::Slices;
  if (Times.SliceStart == TimePoint{}) {
    Times.SliceStart = Now;
    restartFirst(Times, Now);
    return;
  }
  if (Now - Times.SliceStart < ResponseTimes::SliceLength) {
    return;
  }
  const auto Passed = (Now - Times.SliceStart) / ResponseTimes::SliceLength;
  Times.SliceStart += Passed * ResponseTimes::SliceLength;
  // After more steps than this all slices are empty.
  const auto Steps = std::min<std::int64_t>(Passed, std::int64_t{Slices} + 1);
  if (Steps > std::int64_t{Slices}) {
    restartFirst(Times, Now);
  }
  for (std::int64_t I = 0; I < Steps; ++I) {
    settle(Times, (Times.Current + Slices - 1) % Slices, true);
    Times.Current = (Times.Current + 1) % Slices;
    settle(Times, Times.Current, false);
    Times.Counts[Times.Current].fill(0);
  }
}

// Returns the number of first response times from which the quantile is
// derived.
std::uint32_t enoughFor(std::uint32_t Percent) {
  // Below this number above the quantile, a single slow request moves the
  // highest quantiles.
  constexpr double MinAbove = 2.5;
  constexpr double Whole = 100;
  if (Percent >= Whole) {
    return ResponseTimes::MaxFirst;
  }
  const double Wanted = MinAbove * Whole / (Whole - Percent);
  return std::max(ResponseTimes::MinSamples,
                  static_cast<std::uint32_t>(std::ceil(Wanted)));
}

// True until the first response times leave the window.
bool hasFirst(const ResponseTimes &Times, TimePoint Now) {
  return Now - Times.FirstAt <
         ResponseTimes::Slices * ResponseTimes::SliceLength;
}

// Returns the upper bound of the bin that holds the quantile.
Duration quantileOf(const ResponseTimes::Row &Counts, std::uint32_t Samples,
                    std::uint32_t Percent) {
  constexpr std::uint64_t Whole = 100;
  const std::uint64_t Rank =
      (std::uint64_t{Samples} * Percent + Whole - 1) / Whole;
  std::uint64_t Sum = 0;
  std::size_t Bin = 0;
  while (Bin + 1 < ResponseTimes::Bins && (Sum += Counts[Bin]) < Rank) {
    ++Bin;
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      binAxis().value(static_cast<int>(Bin) + 1)));
}

} // namespace

void recordTime(ResponseTimes &Times, Duration Length, TimePoint Now) {
  rotate(Times, Now);
  const int Found = binAxis().index(
      std::max(LowestSeconds, std::chrono::duration<double>(Length).count()));
  constexpr int LastBin = static_cast<int>(ResponseTimes::Bins) - 1;
  const auto Bin = static_cast<std::size_t>(std::clamp(Found, 0, LastBin));
  ++Times.Counts[Times.Current][Bin];
  if (Times.FirstSamples < ResponseTimes::MaxFirst) {
    ++Times.First[Bin];
    ++Times.FirstSamples;
  }
}

std::optional<Duration> quantile(ResponseTimes &Times, std::uint32_t Percent,
                                 TimePoint Now) {
  rotate(Times, Now);
  if (Times.Samples >= ResponseTimes::MinSamples) {
    return quantileOf(Times.Settled, Times.Samples, Percent);
  }
  if (Times.FirstSamples < enoughFor(Percent) || !hasFirst(Times, Now)) {
    return std::nullopt;
  }
  return quantileOf(Times.First, Times.FirstSamples, Percent);
}

} // namespace magnolia::policy
