#ifndef POLICY_MOVE_ORDER_H
#define POLICY_MOVE_ORDER_H

#include "policy/core/types.h"
#include "policy/membership/member.h"
#include "policy/move/move_record.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace magnolia::policy {

// An operator's wish to move a service to another version within a time.
struct MoveOrder {
  std::string Service;
  std::string ToVersion;
  Duration Window{};
  // Revision of the order in the store; tells orders of a service apart.
  std::uint64_t Revision = 0;
};

// Id of the move that carries out the order.
[[nodiscard]] std::string moveIdOf(const MoveOrder &Order);

// First record of the move, or nothing where Last already is a record of it or
// no member serves a version to move from. The version with the most live
// members is the old one. The window starts at WallNow.
[[nodiscard]] std::optional<MoveRecord> planOrder(const MoveOrder &Order,
                                                  const MoveRecord *Last,
                                                  std::span<const Member> Fleet,
                                                  TimePoint WallNow);

} // namespace magnolia::policy

#endif
