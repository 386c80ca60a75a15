#ifndef LOOPBACK_GRACEFUL_STOP_H
#define LOOPBACK_GRACEFUL_STOP_H

#include "call.h"
#include "fleet.h"
#include "measure.h"

#include <cstdint>
#include <span>
#include <vector>

namespace magnolia::bench {

// Planned stop of a node that callers use as entry node and that is the
// sidecar of a backend server.
class GracefulStop {
public:
  // Stops the last entry node and watches its backend server for a while.
  void perform(Fleet &Run);

  // Calls that broke since, and work that came too late.
  [[nodiscard]] std::vector<Measure>
  judge(std::span<const CallResult> Results) const;

private:
  Clock::time_point From;
  double Seconds = 0;
  double Status = 0;
  double LateWork = 0;
};

} // namespace magnolia::bench

#endif
