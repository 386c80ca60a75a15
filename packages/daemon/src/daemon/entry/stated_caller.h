#ifndef DAEMON_ENTRY_STATED_CALLER_H
#define DAEMON_ENTRY_STATED_CALLER_H

#include <string>

namespace magnolia::daemon {

// Caller of a request that is explained and not sent. It is stated by name, in
// place of a key or of the id of a running request.
struct StatedCaller {
  // Empty for a caller without a key.
  std::string Organisation;
  // True for a call that the local backend server makes while it runs a request
  // of the organisation.
  bool Nested = false;
};

} // namespace magnolia::daemon

#endif
