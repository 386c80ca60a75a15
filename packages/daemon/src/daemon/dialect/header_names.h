#ifndef DAEMON_DIALECT_HEADER_NAMES_H
#define DAEMON_DIALECT_HEADER_NAMES_H

#include <string_view>

namespace magnolia::daemon {

// Names of the headers that callers, nodes and backend servers exchange. A name
// is empty if the dialect has no such header.
struct HeaderNames {
  // Id of a request, which a backend server echoes in its response.
  std::string_view RequestId;
  // Milliseconds for which the caller still waits.
  std::string_view Deadline;
  std::string_view Hops;
  // Service of the backend server beside the entry node of a request.
  std::string_view CallerService;
  // Instance that a request is meant for. Any other instance rejects it.
  std::string_view ExpectedInstance;
  // States in a response that the backend server did not run the request.
  std::string_view NotRun;
  // States that it did not run the request because it is shutting down.
  std::string_view Draining;
  // Incarnation of a backend server, in its responses.
  std::string_view Incarnation;
  // Key of an organisation, and the scheme before it in the header.
  std::string_view Key;
  std::string_view KeyScheme;
  // Organisation of a request, for the backend server.
  std::string_view Organisation;
  // Seconds after which a rejected caller should retry.
  std::string_view RetryAfter;
};

} // namespace magnolia::daemon

#endif
