#ifndef POLICY_LINK_LINK_OPTIONS_H
#define POLICY_LINK_LINK_OPTIONS_H

#include "policy/core/types.h"

#include <cstddef>

namespace magnolia::policy {

// Limits on the large bodies that a node sends over its network link.
struct LinkOptions {
  // Capacity of the link; 0 means unknown, without a limit.
  double BytesPerSecond = 0;
  // Share of the capacity that large bodies use together. The rest keeps the
  // queue of the link short for requests, probes and heartbeats.
  double BulkShare = 0.8;
  // Share of the time left until the latency objective that a request may
  // spend behind other bodies; it has to run and to be sent as well.
  double WaitShare = 0.5;
  // Maximum wait behind other bodies of a request without an objective.
  Duration MaxWait = std::chrono::seconds(1);
  // Size assumed for a body before the first one was sent.
  double DefaultBodyBytes = 65'536;
};

} // namespace magnolia::policy

#endif
