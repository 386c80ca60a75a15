#ifndef DAEMON_ENTRY_REJECT_UNREAD_H
#define DAEMON_ENTRY_REJECT_UNREAD_H

#include "daemon/entry/fwd.h"
#include "daemon/http/message.h"
#include "daemon/http/reader.h"
#include "policy/core/types.h"

#include <chrono>
#include <cstddef>

namespace magnolia::daemon {

// Limits on reading and discarding the rest of a rejected request. Without
// this, a connection reset could discard the response before it is read.
struct DrainLimits {
  std::size_t Bytes = std::size_t{4} << 20;
  policy::Duration Time = std::chrono::milliseconds(500);
};

// Counts a request that was not read whole and does not run, and returns the
// response to it.
[[nodiscard]] HttpResponse rejectUnread(HttpServiceState &Service,
                                        HttpReadStatus Status,
                                        const HttpLimits &Limits);

// Returns how much is read after that response.
[[nodiscard]] DrainLimits drainLimits(HttpReadStatus Status,
                                      const HttpLimits &Limits);

// Ends the output and discards input until the limits.
void drainInput(int Fd, const DrainLimits &Limits);

} // namespace magnolia::daemon

#endif
