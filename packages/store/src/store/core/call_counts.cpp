#include "store/core/call_counts.h"

namespace magnolia::store {

std::string_view toString(CallKind Kind) {
  constexpr std::array<std::string_view, CallKindCount> Names = {
      "read",        "range",           "put",         "delete", "watch",
      "lease_grant", "lease_keepalive", "lease_revoke"};
  return Names[static_cast<std::size_t>(Kind)];
}

} // namespace magnolia::store
