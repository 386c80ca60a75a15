#ifndef POLICY_OVERLOAD_OVERLOAD_STATE_H
#define POLICY_OVERLOAD_OVERLOAD_STATE_H

#include "policy/core/types.h"

#include <array>

namespace magnolia::policy {

// Parameters of early load shedding.
struct OverloadOptions {
  // Requests are admitted up to this multiple of the accepted ones. The excess
  // keeps the servers fully used and detects capacity that returns.
  double AcceptMultiplier = 1.25;
  // Length of one bucket of the window.
  Duration Bucket = std::chrono::milliseconds(50);
  // Minimum number of requests in the window before any is shed.
  std::uint32_t MinRequests = 20;
  // Maximum probability of shedding; below 1, so that recovery is detected.
  double MaxShed = 0.98;
};

// Requests of one service over a short window, and how many of them were
// accepted. A request counts when it ends or is shed, so that slow requests in
// flight do not count as rejected.
struct OverloadState {
  static constexpr std::size_t Buckets = 10;

  struct Bucket {
    std::uint64_t Number = 0;
    std::uint32_t Requests = 0;
    std::uint32_t Accepts = 0;
  };

  OverloadOptions Options;
  std::array<Bucket, Buckets> Window{};
  std::uint64_t Admitted = 0;
  std::uint64_t Shed = 0;
};

} // namespace magnolia::policy

#endif
