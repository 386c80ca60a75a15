#ifndef SETTINGS_RECORD_MOVE_ORDER_H
#define SETTINGS_RECORD_MOVE_ORDER_H

#include <cstdint>
#include <string>

namespace magnolia::settings {

// An operator's wish to move a service to another version, under
// orders/<service>. The record of the move is made from it by the first driver
// that sees it; the revision of the order identifies the move.
struct MoveOrder {
  std::string Service;
  std::string ToVersion;
  // Time from the order to the deadline of the move.
  std::uint64_t DurationMs = 0;

  bool operator==(const MoveOrder &) const = default;
};

} // namespace magnolia::settings

#endif
