#ifndef DAEMON_DIALECT_HEADER_NAMES_H
#define DAEMON_DIALECT_HEADER_NAMES_H

#include <string_view>

namespace magnolia::daemon {

// Names of the headers in which callers, nodes and backend servers exchange
// what the system has to know. An empty name: the dialect has no such header.
struct HeaderNames {
  // Id of a request; a backend server repeats it in its answer.
  std::string_view RequestId;
  // Milliseconds until the caller no longer waits.
  std::string_view Deadline;
  std::string_view Hops;
  // Service of the backend server beside the node where a request entered.
  std::string_view CallerService;
  // Instance that a request is meant for; any other one rejects it.
  std::string_view ExpectedInstance;
  // Statement of a backend server that it did not run the request.
  std::string_view NotRun;
  // Statement that it did not run the request because it leaves.
  std::string_view Draining;
  // Start of the lifetime of a backend server, in its answers.
  std::string_view Incarnation;
  // Seconds until a rejected caller should come back.
  std::string_view RetryAfter;
};

} // namespace magnolia::daemon

#endif
