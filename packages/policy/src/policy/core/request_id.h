#ifndef POLICY_CORE_REQUEST_ID_H
#define POLICY_CORE_REQUEST_ID_H

#include "policy/core/types.h"

#include <compare>
#include <cstddef>

namespace magnolia::policy {

// Identifier of a request, unique across all entry nodes and their restarts.
struct RequestId {
  NodeId Origin = 0;
  Incarnation Run = 0;
  std::uint64_t Sequence = 0;

  auto operator<=>(const RequestId &) const = default;
};

// Hash of a request id for unordered containers.
struct RequestIdHash {
  std::size_t operator()(const RequestId &Id) const {
    constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15ULL;
    std::uint64_t Hash = Id.Origin;
    Hash = (Hash ^ Id.Run) * Multiplier;
    Hash = (Hash ^ Id.Sequence) * Multiplier;
    return Hash ^ (Hash >> 32);
  }
};

} // namespace magnolia::policy

#endif
