#ifndef SETTINGS_NODE_SETTING_CHANGES_H
#define SETTINGS_NODE_SETTING_CHANGES_H

#include <string>
#include <string_view>

namespace magnolia::settings {

// Keys whose values differ between two settings files, as section.key
// separated by commas.
struct SettingChanges {
  // A running node takes over their new values.
  std::string Applied;
  // They take effect at the next start.
  std::string AtNextStart;
};

// Both texts must be valid settings.
[[nodiscard]] SettingChanges settingChanges(std::string_view Before,
                                            std::string_view After);

} // namespace magnolia::settings

#endif
