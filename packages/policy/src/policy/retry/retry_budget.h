#ifndef POLICY_RETRY_RETRY_BUDGET_H
#define POLICY_RETRY_RETRY_BUDGET_H

#include "policy/core/types.h"

namespace magnolia::policy {

// Limits of retries and hedges for one service on one entry node.
struct RetryOptions {
  // Retries and hedges allowed per request.
  double Ratio = 0.1;
  // Retries allowed per second regardless of the number of requests.
  double FloorPerSecond = 10.0;
  // Capacity of the token bucket; also its initial value.
  double Cap = 20.0;
  // Maximum number of attempts per request, including the first and hedges.
  std::uint32_t MaxAttempts = 3;
  // If true, a retry is not charged to the budget while no attempt has reached
  // a backend server, since rejections by sidecars cause no load there.
  bool FreeRejections = false;
  // Minimum time left until the deadline for another attempt.
  Duration MinRemaining = std::chrono::milliseconds(2);
};

// Token bucket that retries and hedges of a service share.
struct RetryBudget {
  RetryOptions Options;
  double Tokens = 0;
  // Time of the last refill; zero if unused.
  TimePoint FilledAt{};
  std::uint64_t Requests = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  // Retries and hedges that the budget did not permit.
  std::uint64_t Refused = 0;
};

} // namespace magnolia::policy

#endif
