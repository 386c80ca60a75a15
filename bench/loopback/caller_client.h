#ifndef LOOPBACK_CALLER_CLIENT_H
#define LOOPBACK_CALLER_CLIENT_H

#include "call.h"

#include <cstddef>
#include <httplib.h>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::bench {

// Address and port that callers connect to.
struct Endpoint {
  std::string Address;
  int Port = 0;
};

// Targets of the calls of a run. Request paths without targets aren't used.
struct CallTargets {
  std::vector<Endpoint> Entries;
  Endpoint Direct;
  Endpoint Relays;
  std::vector<Endpoint> RoundRobin;
};

// Persistent HTTP connections of one caller.
class CallerClient {
public:
  // Starts with the entry node at this index and switches to the next one if a
  // connection is refused.
  CallerClient(const CallTargets &Targets, std::size_t FirstEntry);

  // Makes the call, which was due at this time, and waits until it ends.
  [[nodiscard]] CallResult make(Call Planned, Clock::time_point Due);

private:
  httplib::Client &clientFor(const Call &Planned);

  std::vector<std::unique_ptr<httplib::Client>> Entries;
  std::vector<std::unique_ptr<httplib::Client>> RoundRobin;
  std::unique_ptr<httplib::Client> Direct;
  std::unique_ptr<httplib::Client> Relays;
  std::size_t Entry;
  std::size_t Turn = 0;
};

} // namespace magnolia::bench

#endif
