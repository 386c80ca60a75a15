#ifndef POLICY_ADMISSION_ARRIVAL_WINDOW_H
#define POLICY_ADMISSION_ARRIVAL_WINDOW_H

#include "policy/core/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace magnolia::policy {

// What a backend server got lately: the times of the last second's requests,
// for the rate of a cold start, and counts of ten seconds, for the budget of
// repeats.
struct ArrivalWindow {
  static constexpr std::size_t Seconds = 10;

  struct Bucket {
    std::int64_t Second = -1;
    std::uint32_t Firsts = 0;
    std::uint32_t Repeats = 0;
  };

  std::deque<TimePoint> LastSecond;
  std::array<Bucket, Seconds> Buckets{};
};

// Counts a request that is sent to the backend server now.
void recordArrival(ArrivalWindow &Window, bool Repeat, TimePoint Now);

// Requests of the second before Now.
[[nodiscard]] std::size_t arrivalsInLastSecond(ArrivalWindow &Window,
                                               TimePoint Now);

// True where one more repeat stays within Ratio of the first arrivals plus
// Slack, over the last ten seconds.
[[nodiscard]] bool mayRepeat(const ArrivalWindow &Window, double Ratio,
                             double Slack, TimePoint Now);

} // namespace magnolia::policy

#endif
