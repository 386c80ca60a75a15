#ifndef POLICY_CONFIG_SEND_FORM_H
#define POLICY_CONFIG_SEND_FORM_H

#include "policy/config/config_entry.h"
#include "policy/config/config_table.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace magnolia::policy {

// What a node sends of an entry to another node.
enum class SendForm {
  // Nothing: the other node holds the revision or a later one.
  Nothing,
  // Key and revision; the other node fetches the value if it lacks it.
  Notice,
  // The changes since a revision that the other node holds.
  Patches,
  Value,
};

// Largest value, and largest patch, that is sent without being asked for. At
// 10 Mbit/s three copies take 10 ms of the link.
inline constexpr std::size_t InlineMaxBytes = std::size_t{4} << 10;

[[nodiscard]] bool isLarge(const ConfigEntry &Entry);

// Returns what a push of this entry of the table contains. A patch starts at
// the revision before.
[[nodiscard]] SendForm pushForm(const ConfigTable &Table,
                                const ConfigEntry &Entry);

// Returns what a node that holds this revision of the key, or 0 for none,
// receives when it fetches the key.
[[nodiscard]] SendForm fetchForm(const ConfigTable &Table, std::string_view Key,
                                 std::uint64_t HeldRevision);

} // namespace magnolia::policy

#endif
