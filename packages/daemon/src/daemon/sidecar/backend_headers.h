#ifndef DAEMON_SIDECAR_BACKEND_HEADERS_H
#define DAEMON_SIDECAR_BACKEND_HEADERS_H

#include "daemon/dialect/dialect.h"
#include "daemon/http/message.h"
#include "policy/core/types.h"

#include <string>
#include <string_view>

namespace magnolia::daemon {

// True for the headers by which the system itself makes statements to callers.
// A backend server that copies them from a call of its own must not make such a
// statement about the request at hand.
[[nodiscard]] bool isSystemStatement(const Dialect &Speaks,
                                     const HttpHeader &Header);

// True for the headers that the sidecar writes itself.
[[nodiscard]] bool isOwnHeader(const Dialect &Speaks, const HttpHeader &Header);

// Value of the header, or null, also where the dialect has no such header.
[[nodiscard]] const std::string *findNamed(const HttpHeaders &Headers,
                                           std::string_view Name);

// Lifetime that the backend server states; 0: none.
[[nodiscard]] policy::Incarnation incarnationOf(const Dialect &Speaks,
                                                const HttpHeaders &Headers);

} // namespace magnolia::daemon

#endif
