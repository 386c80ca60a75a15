#ifndef SETTINGS_NODE_SETTING_CHANGES_H
#define SETTINGS_NODE_SETTING_CHANGES_H

#include <string>
#include <string_view>

namespace magnolia::settings {

// Keys whose values differ between two settings files, as section.key
// separated by commas.
struct SettingChanges {
  // Keys whose new values a running node applies.
  std::string Applied;
  // Keys whose new values take effect at the next start.
  std::string AtNextStart;
};

// Compares two settings files; both texts must be valid.
[[nodiscard]] SettingChanges settingChanges(std::string_view Before,
                                            std::string_view After);

} // namespace magnolia::settings

#endif
