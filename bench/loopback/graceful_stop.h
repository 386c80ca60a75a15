#ifndef LOOPBACK_GRACEFUL_STOP_H
#define LOOPBACK_GRACEFUL_STOP_H

#include "call.h"
#include "fleet.h"
#include "measure.h"

#include <cstdint>
#include <span>
#include <vector>

namespace magnolia::bench {

// Planned stop of a node that is both an entry node for callers and the sidecar
// of a backend server.
class GracefulStop {
public:
  // Stops the last entry node and observes the requests of its backend server
  // for a while.
  void perform(Fleet &Run);

  // Measures the calls interrupted since the stop and the requests that reached
  // the backend server too late.
  [[nodiscard]] std::vector<Measure>
  judge(std::span<const CallResult> Results) const;

private:
  Clock::time_point From;
  double Seconds = 0;
  double Status = 0;
  double LateRequests = 0;
};

} // namespace magnolia::bench

#endif
