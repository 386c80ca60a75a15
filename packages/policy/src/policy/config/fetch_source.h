#ifndef POLICY_CONFIG_FETCH_SOURCE_H
#define POLICY_CONFIG_FETCH_SOURCE_H

#include "policy/core/types.h"

#include <cstdint>

namespace magnolia::policy {

// Node that announced a revision of a key.
struct FetchSource {
  NodeId Node = 0;
  std::uint64_t Revision = 0;
  // The node is not asked before.
  TimePoint NotBefore;
};

} // namespace magnolia::policy

#endif
