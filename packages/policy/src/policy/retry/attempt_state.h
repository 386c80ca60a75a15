#ifndef POLICY_RETRY_ATTEMPT_STATE_H
#define POLICY_RETRY_ATTEMPT_STATE_H

#include "policy/core/types.h"

namespace magnolia::policy {

// Attempts of one request on its entry node.
struct AttemptState {
  bool Idempotent = false;
  // Attempts sent so far, hedges included.
  std::uint32_t Attempts = 0;
  // Attempts that reached a backend server, and their maximum; a maximum of 0
  // means that only the number of attempts is limited.
  std::uint32_t Runs = 0;
  std::uint32_t MaxRuns = 0;
  // Attempts without a result yet.
  std::uint32_t Open = 0;
  // True if sidecars limit the retries of the request by the budget of the
  // service, so that the budget of the entry node is not charged.
  bool LimitedBySidecars = false;
  // Hops of the call chain, including this one.
  std::uint32_t Hops = 1;
  TimePoint Deadline{};
  // Another layer of the call chain retries or has exhausted the retries, so
  // this layer must not retry.
  bool RetriesExhausted = false;
  // True if an attempt ended without proof that it did not run. Set by
  // planNext.
  bool MayHaveRun = false;
};

} // namespace magnolia::policy

#endif
