#ifndef SETTINGS_NODE_INTERNAL_PARSE_VALUE_H
#define SETTINGS_NODE_INTERNAL_PARSE_VALUE_H

#include "settings/node/setting_entry.h"

#include <optional>
#include <string_view>

namespace magnolia::settings::internal {

// Parses a value of the entry's type; the result is empty if the text is
// invalid or out of range.
[[nodiscard]] std::optional<SettingValue> parseValue(const SettingEntry &Entry,
                                                     std::string_view Text);

// Parses "name,address,peer_port,zone,version" of section [static].
[[nodiscard]] std::optional<StaticEndpoint>
parseStaticEndpoint(std::string_view Text);

} // namespace magnolia::settings::internal

#endif
