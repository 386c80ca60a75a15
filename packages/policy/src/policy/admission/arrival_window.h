#ifndef POLICY_ADMISSION_ARRIVAL_WINDOW_H
#define POLICY_ADMISSION_ARRIVAL_WINDOW_H

#include "policy/core/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace magnolia::policy {

// Recent requests sent to a backend server: the times of those in the last
// second, for the rate limit of a cold start, and counts over ten seconds, for
// the retry budget.
struct ArrivalWindow {
  static constexpr std::size_t Seconds = 10;

  struct Bucket {
    std::int64_t Second = -1;
    std::uint32_t FirstAttempts = 0;
    std::uint32_t Retries = 0;
  };

  std::deque<TimePoint> LastSecond;
  std::array<Bucket, Seconds> Buckets{};
};

// Records a request that is sent to the backend server.
void recordArrival(ArrivalWindow &Window, bool Repeat, TimePoint Now);

// Returns the number of requests in the second before Now.
[[nodiscard]] std::size_t arrivalsInLastSecond(ArrivalWindow &Window,
                                               TimePoint Now);

// Returns the earliest time, Now or later, at which fewer than Count requests
// were sent in the second before. Count must be positive.
[[nodiscard]] TimePoint timeWithFewer(const ArrivalWindow &Window,
                                      std::size_t Count, TimePoint Now);

// Removes the request that was recorded at this time from those of the last
// second. Returns false if there is none.
bool removeArrival(ArrivalWindow &Window, TimePoint At);

// Returns true if one more retry stays within Ratio of the first attempts of
// the last ten seconds plus Slack.
[[nodiscard]] bool isRetryWithinBudget(const ArrivalWindow &Window,
                                       double Ratio, double Slack,
                                       TimePoint Now);

} // namespace magnolia::policy

#endif
