#ifndef POLICY_MEMBERSHIP_MEMBER_TABLE_H
#define POLICY_MEMBERSHIP_MEMBER_TABLE_H

#include "policy/core/types.h"
#include "policy/membership/member.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnolia::policy {

// The members known to a node, including itself, unordered.
struct MemberTable {
  // Local metadata of one member.
  struct MemberMetadata {
    // Time at which the member entered its state.
    TimePoint Since;
    std::uint32_t Zone = 0;
  };

  // Counts of one zone, to distinguish the loss of a zone from single failures.
  struct ZoneCounts {
    std::uint32_t Members = 0;
    std::uint32_t NotResponding = 0;
    std::optional<TimePoint> LostAt;
    // Members that sent a message since the loss, at most
    // MembershipOptions::ReturnedMembers.
    std::vector<NodeId> RespondedSinceLoss;
  };

  // Parallel vectors: Notes[I] belongs to Members[I].
  std::vector<Member> Members;
  std::vector<MemberMetadata> Metadata;
  std::unordered_map<NodeId, std::uint32_t> Index;
  std::vector<ZoneCounts> Zones;
  std::unordered_map<std::string, std::uint32_t> ZoneIndex;
  // Members presumed to run.
  std::size_t Live = 0;
  // Hash over node, incarnation and record version of the live members.
  std::uint64_t Digest = 0;
  // Raised by every change, so that callers publish a view only if it changed.
  std::uint64_t Generation = 0;
};

} // namespace magnolia::policy

#endif
