#ifndef POLICY_USAGE_DUTY_FACTS_H
#define POLICY_USAGE_DUTY_FACTS_H

#include "policy/usage/window_counts.h"

#include <cstdint>

namespace magnolia::policy {

// What a node knows of the holder, from its own writes and the messages of
// others.
struct DutyFacts {
  // 0 if unknown.
  NodeId Holder = 0;
  std::uint64_t Token = 0;
  // Last window that was recorded in the store, and the one before the first
  // window that may be recorded; 0 if unknown.
  UsageWindow Recorded = 0;

  bool operator==(const DutyFacts &) const = default;
};

// Adds the facts of another node. The higher token names the holder, and no
// fact goes back.
inline void join(DutyFacts &Known, const DutyFacts &Other) {
  if (Other.Token > Known.Token) {
    Known.Holder = Other.Holder;
    Known.Token = Other.Token;
  }
  if (Other.Recorded > Known.Recorded) {
    Known.Recorded = Other.Recorded;
  }
}

} // namespace magnolia::policy

#endif
