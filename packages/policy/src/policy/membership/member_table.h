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

// The members known to a node, itself included, in no particular order.
struct MemberTable {
  // Book-keeping of one member.
  struct Note {
    // When the member entered its state.
    TimePoint Since;
    std::uint32_t Zone = 0;
  };

  // Counts of one zone, to tell the loss of a zone from single failures.
  struct ZoneTally {
    std::uint32_t Members = 0;
    std::uint32_t Bad = 0;
    std::optional<TimePoint> LostAt;
    // Members heard since the loss; kept short.
    std::vector<NodeId> Heard;
  };

  // Parallel vectors: Notes[I] belongs to Members[I].
  std::vector<Member> Members;
  std::vector<Note> Notes;
  std::unordered_map<NodeId, std::uint32_t> Index;
  std::vector<ZoneTally> Zones;
  std::unordered_map<std::string, std::uint32_t> ZoneIndex;
  // Members presumed to run.
  std::size_t Live = 0;
  // Hash over node, incarnation and beat of the live members.
  std::uint64_t Digest = 0;
  // Raised by every change, so that callers publish a view only when needed.
  std::uint64_t Generation = 0;
};

} // namespace magnolia::policy

#endif
