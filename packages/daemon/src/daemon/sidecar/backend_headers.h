#ifndef DAEMON_SIDECAR_BACKEND_HEADERS_H
#define DAEMON_SIDECAR_BACKEND_HEADERS_H

#include "daemon/dialect/dialect.h"
#include "daemon/http/message.h"
#include "policy/core/types.h"

#include <string>
#include <string_view>

namespace magnolia::daemon {

// True for headers by which the system itself informs callers. A backend server
// may copy them from the response to a call of its own, where they describe
// another request, so the sidecar does not forward them.
[[nodiscard]] bool isReservedHeader(const Dialect &Speaks,
                                    const HttpHeader &Header);

// True for the headers that the sidecar sets itself.
[[nodiscard]] bool isSidecarHeader(const Dialect &Speaks,
                                   const HttpHeader &Header);

// Returns the value of the header. Returns null if it is missing or the dialect
// has no such header.
[[nodiscard]] const std::string *findOptionalHeader(const HttpHeaders &Headers,
                                                    std::string_view Name);

// Returns the incarnation that the backend server states, or 0.
[[nodiscard]] policy::Incarnation incarnationOf(const Dialect &Speaks,
                                                const HttpHeaders &Headers);

} // namespace magnolia::daemon

#endif
