#ifndef DAEMON_ENTRY_PARSE_CALL_H
#define DAEMON_ENTRY_PARSE_CALL_H

#include "daemon/dialect/dialect.h"
#include "daemon/entry/entry_call.h"
#include "daemon/entry/fwd.h"
#include "daemon/http/message.h"

#include <optional>
#include <string_view>

namespace magnolia::daemon {

inline constexpr std::string_view ServiceHeader = "Magnolia-Service";

// Path prefix of the node's own endpoints.
inline constexpr std::string_view LocalPrefix = "/-/";

// True if the request is for the node itself and not for a service.
[[nodiscard]] bool isLocal(const HttpRequest &Request);

// Returns the service named by the header or, without it, by the first label of
// the host. Returns an empty string if the request has neither.
[[nodiscard]] std::string_view serviceOf(const HttpRequest &Request);

// True if the request may run more than once by its route, so that it may run
// beside other requests of its connection. False for requests to the node
// itself and for those without a route.
[[nodiscard]] bool mayOverlap(const Entry &Owner, const HttpRequest &Request);

// Builds the call of a caller's request. Returns nothing and sets LastError if
// the request cannot be run.
[[nodiscard]] std::optional<EntryCall::Parameters>
parseCall(Entry &Owner, HttpRequest Request, policy::TimePoint Now,
          policy::Error &LastError);

// Builds the call that a request of the stated caller would be now, without its
// key, from copies: it takes no request id, writes no log line, draws from
// Random, and the runtime of its service is a copy. Returns nothing and sets
// LastError if the request cannot be run.
[[nodiscard]] std::optional<EntryCall::Parameters>
parseStatedCall(Entry &Owner, HttpRequest Request, const StatedCaller &Caller,
                policy::TimePoint Now, policy::RandomEngine &Random,
                policy::Error &LastError);

// Builds the error response to a caller, with the headers that state whether
// the request ran. A rejected caller is asked to return after the given time,
// or after a random one.
[[nodiscard]] HttpResponse
errorResponse(const Dialect &Speaks, policy::ErrorKind Kind,
              std::string_view Detail, bool RetriesExhausted,
              std::optional<policy::Duration> RetryAfter = std::nullopt);

} // namespace magnolia::daemon

#endif
