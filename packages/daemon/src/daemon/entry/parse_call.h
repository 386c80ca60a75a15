#ifndef DAEMON_ENTRY_PARSE_CALL_H
#define DAEMON_ENTRY_PARSE_CALL_H

#include "daemon/dialect/dialect.h"
#include "daemon/entry/entry_call.h"
#include "daemon/http/message.h"

#include <optional>
#include <string_view>

namespace magnolia::daemon {

inline constexpr std::string_view ServiceHeader = "Magnolia-Service";

// Path prefix of the node's own endpoints.
inline constexpr std::string_view LocalPrefix = "/-/";

// True where the request is for the node itself and not for a service.
[[nodiscard]] bool isLocal(const HttpRequest &Request);

// Service that the request names by header, or else by the first label of its
// host; empty where neither is there.
[[nodiscard]] std::string_view serviceOf(const HttpRequest &Request);

// Call of a request from a caller; nothing with the reason in LastError where
// it cannot be run.
[[nodiscard]] std::optional<EntryCall::Given>
parseCall(Entry &Owner, HttpRequest Request, policy::TimePoint Now,
          policy::Error &LastError);

// Error answer to a caller, with the headers that state whether it ran.
[[nodiscard]] HttpResponse errorResponse(const Dialect &Speaks,
                                         policy::ErrorKind Kind,
                                         std::string_view Detail,
                                         bool RetriesExhausted);

} // namespace magnolia::daemon

#endif
