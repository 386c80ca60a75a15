#ifndef POLICY_CONFIG_FETCH_CALL_H
#define POLICY_CONFIG_FETCH_CALL_H

#include "policy/core/types.h"

#include <cstdint>
#include <string>

namespace magnolia::policy {

// Request for the value of a key to another node.
struct FetchCall {
  std::string Key;
  std::uint64_t Id = 0;
  NodeId From = 0;
  // Revision to tell the other node; 0 to get the whole value.
  std::uint64_t HeldRevision = 0;
  Duration Timeout{};
};

} // namespace magnolia::policy

#endif
