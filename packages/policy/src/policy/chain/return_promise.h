#ifndef POLICY_CHAIN_RETURN_PROMISE_H
#define POLICY_CHAIN_RETURN_PROMISE_H

#include "policy/core/types.h"

namespace magnolia::policy {

// Moment at which a rejected caller was asked to return. The retry has another
// request id, but its caller still waits until the same time.
struct ReturnPromise {
  TimePoint Made{};
  TimePoint Due{};
  TimePoint CallerDeadline{};
  // True if a place is kept for the caller.
  bool Kept = false;
};

} // namespace magnolia::policy

#endif
