#ifndef DAEMON_NET_SPIN_GATE_H
#define DAEMON_NET_SPIN_GATE_H

#include "policy/core/types.h"

namespace magnolia::daemon {

// Decides whether a wait is worth polling without sleep: only where the waits
// of this thread usually end within that time. Polling through longer waits
// takes processor time from the threads that are waited for.
class SpinGate {
public:
  // Time to poll in the next wait, up to the maximum.
  [[nodiscard]] policy::Duration spin(policy::Duration Maximum) const {
    return Average <= Maximum ? Maximum : policy::Duration{0};
  }

  // Counts a wait that ended after this time.
  void record(policy::Duration Waited) {
    constexpr int Weight = 8;
    Average += (Waited - Average) / Weight;
  }

private:
  policy::Duration Average{0};
};

} // namespace magnolia::daemon

#endif
