#ifndef DAEMON_NET_ADAPTIVE_SPIN_H
#define DAEMON_NET_ADAPTIVE_SPIN_H

#include "policy/core/types.h"

namespace magnolia::daemon {

// Decides whether to poll without sleeping at the start of a wait. This pays
// off only if the waits of this thread usually end within the spin time.
// Polling through longer waits takes processor time from the threads that are
// waited for.
class AdaptiveSpin {
public:
  // Returns the time to poll in the next wait: the maximum, or zero.
  [[nodiscard]] policy::Duration spin(policy::Duration Maximum) const {
    return Average <= Maximum ? Maximum : policy::Duration{0};
  }

  // Records the duration of a wait.
  void record(policy::Duration Waited) {
    constexpr int Weight = 8;
    Average += (Waited - Average) / Weight;
  }

private:
  policy::Duration Average{0};
};

} // namespace magnolia::daemon

#endif
