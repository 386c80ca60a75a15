#ifndef STORE_CORE_CALL_COUNTS_H
#define STORE_CORE_CALL_COUNTS_H

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace magnolia::store {

// Kinds of calls, as the store's rate limits count them.
enum class CallKind : std::uint8_t {
  Read,
  Range,
  Put,
  Delete,
  Watch,
  LeaseGrant,
  LeaseKeepalive,
  LeaseRevoke,
};

inline constexpr std::size_t CallKindCount =
    static_cast<std::size_t>(CallKind::LeaseRevoke) + 1;

[[nodiscard]] std::string_view toString(CallKind Kind);

// Calls of one client by kind, and how many of them failed for a reason other
// than Conflict, NotFound and LeaseExpired.
struct CallCounts {
  std::array<std::atomic<std::uint64_t>, CallKindCount> Calls{};
  std::array<std::atomic<std::uint64_t>, CallKindCount> Failures{};

  [[nodiscard]] std::uint64_t calls(CallKind Kind) const {
    return Calls[static_cast<std::size_t>(Kind)].load();
  }
  [[nodiscard]] std::uint64_t failures(CallKind Kind) const {
    return Failures[static_cast<std::size_t>(Kind)].load();
  }
};

} // namespace magnolia::store

#endif
