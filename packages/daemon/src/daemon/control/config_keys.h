#ifndef DAEMON_CONTROL_CONFIG_KEYS_H
#define DAEMON_CONTROL_CONFIG_KEYS_H

#include "settings/record/record_key.h"

#include <string_view>

namespace magnolia::daemon {

// Returns whether every node holds the key in its configuration table. Contacts
// are not part of it: a node reads them from the store only while it joins.
[[nodiscard]] inline bool isConfigKey(std::string_view Key) {
  return Key.starts_with(settings::ServicePrefix) ||
         Key.starts_with(settings::ZonePrefix) ||
         Key.starts_with(settings::RolloutRecordPrefix) ||
         Key.starts_with(settings::RolloutRequestPrefix) ||
         Key == settings::RoutingKey;
}

} // namespace magnolia::daemon

#endif
