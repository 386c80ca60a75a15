#ifndef DAEMON_NET_LINGER_H
#define DAEMON_NET_LINGER_H

#include "policy/core/types.h"
#include "policy/linger/fwd.h"

namespace magnolia::daemon {

// Ends the output of a connection and waits until the descriptor may be closed
// without a reset that would cut the output. LastOutput is the time of the last
// output, or the minimum if there was none.
void linger(int Fd, const policy::LingerLimits &Limits,
            policy::TimePoint LastOutput);

} // namespace magnolia::daemon

#endif
