#ifndef POLICY_RETRY_RETRY_BUDGET_H
#define POLICY_RETRY_RETRY_BUDGET_H

#include "policy/core/types.h"

namespace magnolia::policy {

// Limits of retries and hedges for one service on one entry node.
struct RetryOptions {
  // Retries and hedges allowed per request.
  double Ratio = 0.1;
  // Retries allowed per second without regard to the number of requests.
  double FloorPerSecond = 10.0;
  // Retries that may be saved up for later; also the start value.
  double Cap = 20.0;
  // Attempts of one request, the first and hedges included.
  std::uint32_t MaxAttempts = 3;
  // True where a retry after a rejection by a sidecar, which cost no backend
  // server anything, is not charged to the budget.
  bool FreeRejections = false;
  // No attempt starts with less time than this left.
  Duration MinRemaining = std::chrono::milliseconds(2);
};

// Token bucket that retries and hedges of a service share.
struct RetryBudget {
  RetryOptions Options;
  double Tokens = 0;
  // Zero: unused.
  TimePoint FilledAt{};
  std::uint64_t Requests = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  // Retries and hedges that the budget did not allow.
  std::uint64_t Refused = 0;
};

} // namespace magnolia::policy

#endif
