#ifndef POLICY_LINGER_LINGER_STATE_H
#define POLICY_LINGER_LINGER_STATE_H

#include "policy/core/types.h"

#include <cstddef>

namespace magnolia::policy {

// A connection whose output the node has ended.
struct LingerState {
  TimePoint Began{};
  // Latest known time at which output was still on its way.
  TimePoint LastOutput{};
  // True once the remote side has acknowledged all output.
  bool Delivered = false;
  // True once the remote side has closed the connection, or it broke.
  bool Ended = false;
  // Bytes of input that were dropped.
  std::size_t Dropped = 0;
};

} // namespace magnolia::policy

#endif
