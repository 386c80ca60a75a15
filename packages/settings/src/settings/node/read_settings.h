#ifndef SETTINGS_NODE_READ_SETTINGS_H
#define SETTINGS_NODE_READ_SETTINGS_H

#include "policy/core/error.h"
#include "settings/node/node_settings.h"

#include <optional>
#include <string>
#include <string_view>

namespace magnolia::settings {

// Largest settings file that is read.
inline constexpr std::size_t SettingsFileMaximumBytes = std::size_t{1} << 20;

// Reads and checks a settings file. The error names file, section, key and
// the accepted range.
[[nodiscard]] std::optional<NodeSettings>
readSettings(const std::string &Path, policy::Error &LastError);

// Returns the text of a settings file; the result is empty if the file cannot
// be read or is too long.
[[nodiscard]] std::optional<std::string>
readSettingsText(const std::string &Path, policy::Error &LastError);

// Parses and checks text that was read before; Path is used in messages.
[[nodiscard]] std::optional<NodeSettings>
parseSettings(std::string_view Text, const std::string &Path,
              policy::Error &LastError);

// Returns the reference page of all settings in Markdown.
[[nodiscard]] std::string settingsPage();

} // namespace magnolia::settings

#endif
