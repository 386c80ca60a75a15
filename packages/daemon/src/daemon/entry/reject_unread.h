#ifndef DAEMON_ENTRY_REJECT_UNREAD_H
#define DAEMON_ENTRY_REJECT_UNREAD_H

#include "daemon/entry/fwd.h"
#include "daemon/http/message.h"
#include "daemon/http/reader.h"
#include "policy/linger/fwd.h"

namespace magnolia::daemon {

// Counts a request that was not read whole and does not run, and returns the
// response to it.
[[nodiscard]] HttpResponse rejectUnread(HttpServiceState &Service,
                                        HttpReadStatus Status,
                                        const HttpLimits &Limits);

// Returns how a connection is closed whose caller was told of it.
[[nodiscard]] policy::LingerLimits
closeLimits(const HttpServiceOptions &Options);

// Returns how it is closed after that response: the caller may be in the middle
// of a body.
[[nodiscard]] policy::LingerLimits
closeLimits(const HttpServiceOptions &Options, HttpReadStatus Status);

} // namespace magnolia::daemon

#endif
