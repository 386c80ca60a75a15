#ifndef POLICY_RETRY_ATTEMPT_STATE_H
#define POLICY_RETRY_ATTEMPT_STATE_H

#include "policy/core/types.h"

namespace magnolia::policy {

// Progress of one request of a caller on its entry node.
struct AttemptState {
  bool Idempotent = false;
  // Attempts sent so far, hedges included.
  std::uint32_t Attempts = 0;
  // Attempts that reached a backend server, and the most that may; 0: as many
  // as attempts.
  std::uint32_t Runs = 0;
  std::uint32_t MaxRuns = 0;
  // Attempts without a result.
  std::uint32_t Open = 0;
  // Hops of the call chain, this one included.
  std::uint32_t Hops = 1;
  TimePoint Deadline{};
  // Another layer of the call chain retries or has used up the retries, so
  // this one must not.
  bool RetriesExhausted = false;
  // An attempt ended without a proof that it did not run. Set by planNext.
  bool MayHaveRun = false;
};

} // namespace magnolia::policy

#endif
