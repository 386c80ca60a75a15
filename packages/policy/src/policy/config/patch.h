#ifndef POLICY_CONFIG_PATCH_H
#define POLICY_CONFIG_PATCH_H

#include "policy/config/config_entry.h"
#include "policy/config/value_patch.h"
#include "policy/core/fwd.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::policy {

// Maximum number of steps of a patch. A value that needs more is sent whole.
inline constexpr std::size_t PatchMaxSteps = 4'096;

// Returns the patch that turns the value of the base into that of the next
// entry. It is correct for any values, and as long as the next value if they
// have no line in common.
[[nodiscard]] ValuePatch makePatch(const ConfigEntry &Base,
                                   const ConfigEntry &Next);

// Returns the value that results from the base. The result is empty, and the
// error is set, if a range is not in the base or the result does not have the
// size and the digest of the patch.
[[nodiscard]] std::optional<std::string>
applyPatch(std::string_view Base, const ValuePatch &Patch, Error &LastError);

// Returns the approximate number of bytes of the patch in a message.
[[nodiscard]] std::size_t bytesOf(const ValuePatch &Patch);

} // namespace magnolia::policy

#endif
