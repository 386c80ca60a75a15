#ifndef POLICY_LINGER_PLAN_LINGER_H
#define POLICY_LINGER_PLAN_LINGER_H

#include "policy/linger/linger_limits.h"
#include "policy/linger/linger_state.h"

namespace magnolia::policy {

// A socket that is closed while input is unread, or that gets input after the
// close, resets its connection, and the remote side loses output that has not
// arrived yet. So a connection first lingers: its output is ended, and it stays
// open until the output has arrived.

// Returns true if the connection may be closed without cutting its output, or
// if a limit is reached.
[[nodiscard]] bool mayClose(const LingerState &State,
                            const LingerLimits &Limits, TimePoint Now);

// Returns the time of the next check if nothing arrives before.
[[nodiscard]] TimePoint nextLingerCheck(const LingerState &State,
                                        const LingerLimits &Limits,
                                        TimePoint Now);

} // namespace magnolia::policy

#endif
