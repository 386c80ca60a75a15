#ifndef DAEMON_CONTROL_CONFIG_CODEC_H
#define DAEMON_CONTROL_CONFIG_CODEC_H

#include "policy/config/config_entry.h"
#include "policy/config/key_revision.h"
#include "policy/config/value_patch.h"

#include <optional>

namespace magnolia::wire {
class ConfigEntry;
class KeyRevision;
class ValuePatch;
} // namespace magnolia::wire

namespace magnolia::daemon {

[[nodiscard]] wire::ConfigEntry toWire(const policy::ConfigEntry &Entry);
[[nodiscard]] wire::KeyRevision toWire(const policy::KeyRevision &Held);
[[nodiscard]] wire::ValuePatch toWire(const policy::ValuePatch &Patch);

[[nodiscard]] policy::ConfigEntry fromWire(const wire::ConfigEntry &Entry);
[[nodiscard]] policy::KeyRevision fromWire(const wire::KeyRevision &Held);

// Returns nothing if the patch has more than PatchMaxSteps steps.
[[nodiscard]] std::optional<policy::ValuePatch>
fromWire(const wire::ValuePatch &Patch);

} // namespace magnolia::daemon

#endif
