#ifndef POLICY_OVERLOAD_RETURN_DELAY_H
#define POLICY_OVERLOAD_RETURN_DELAY_H

#include "policy/core/error_kind.h"
#include "policy/core/types.h"

namespace magnolia::policy {

// Time after which a rejected caller should come back. It is random, so that
// callers that were rejected together do not return together.
[[nodiscard]] Duration returnDelay(ErrorKind Kind, RandomEngine &Random);

} // namespace magnolia::policy

#endif
