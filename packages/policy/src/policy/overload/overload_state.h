#ifndef POLICY_OVERLOAD_OVERLOAD_STATE_H
#define POLICY_OVERLOAD_OVERLOAD_STATE_H

#include "policy/core/types.h"

#include <array>

namespace magnolia::policy {

// Parameters of early load shedding.
struct OverloadOptions {
  // Requests are sent up to this multiple of those that were accepted. The
  // surplus keeps the servers full and finds returning capacity.
  double Surplus = 1.25;
  // Length of one of the buckets of the window.
  Duration Bucket = std::chrono::milliseconds(50);
  // Requests in the window below which nothing is shed.
  std::uint32_t MinRequests = 20;
  // Nothing above this probability is shed, so that recovery is noticed.
  double MaxShed = 0.98;
};

// Requests and accepts of one service over a short window. A request counts
// when it ends or is shed, so that requests in flight, however slow, don't look
// like rejected ones.
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
