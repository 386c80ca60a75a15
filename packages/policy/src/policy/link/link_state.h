#ifndef POLICY_LINK_LINK_STATE_H
#define POLICY_LINK_LINK_STATE_H

#include "policy/link/link_options.h"

namespace magnolia::policy {

// Large bodies that a node sends over its link. It is not thread-safe; callers
// guard it with one mutex.
struct LinkState {
  LinkOptions Options;
  // Time at which all pieces with a reserved time have been sent.
  TimePoint FreeAt{};
  // Accepted requests whose body is not completely sent, and the moving average
  // of the body sizes; 0 before the first one.
  std::uint32_t Transfers = 0;
  double MeanBodyBytes = 0;
  std::uint64_t Accepted = 0;
  std::uint64_t Rejected = 0;
};

} // namespace magnolia::policy

#endif
