#ifndef POLICY_OVERLOAD_RETURN_DELAY_H
#define POLICY_OVERLOAD_RETURN_DELAY_H

#include "policy/core/error_kind.h"
#include "policy/core/types.h"

namespace magnolia::policy {

// Returns the time after which a rejected caller should retry. It is random, so
// that callers rejected at the same time do not retry at the same time.
[[nodiscard]] Duration returnDelay(ErrorKind Kind, RandomEngine &Random);

} // namespace magnolia::policy

#endif
