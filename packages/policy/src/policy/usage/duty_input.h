#ifndef POLICY_USAGE_DUTY_INPUT_H
#define POLICY_USAGE_DUTY_INPUT_H

#include "policy/usage/usage_totals.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace magnolia::policy {

// What the decisions on the duty depend on besides their own state.
struct DutyInput {
  // Clock that also runs while the instance is suspended.
  TimePoint Now{};
  // Empty while it is not known.
  std::optional<TimePoint> True;
  NodeId Self = 0;
  Incarnation Run = 0;
  // Name of the node as a holder.
  std::string_view Name;
  // Rank among the live members that may become the holder, without the
  // present one. Empty if this node may not.
  std::optional<std::size_t> Rank;
  // Whether the present holder is live and not leaving.
  bool HolderLive = false;
  // True if this node is leaving. It then records nothing more.
  bool Leaving = false;
  // Newest epoch of the store that this node has heard of.
  std::uint64_t Epoch = 0;
  const UsageTotals &Totals;
  // Nodes that are expected to send counts.
  std::span<const NodeId> Reporting;
};

} // namespace magnolia::policy

#endif
