#ifndef SETTINGS_NODE_SETTING_ENTRY_H
#define SETTINGS_NODE_SETTING_ENTRY_H

#include "settings/node/node_settings.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace magnolia::settings {

enum class SettingType : std::uint8_t {
  // Minimum and Maximum bound the length in bytes.
  Text,
  // Numeric IP address.
  Address,
  Number,
  // One of the words in Choices, separated by |.
  Choice,
  // List of address:port, separated by commas; Maximum bounds its length.
  Contacts,
  // One address:port, or empty.
  Endpoint,
};

// Checked value of one key.
struct SettingValue {
  std::string Text;
  std::int64_t Number = 0;
  std::vector<HostPort> Contacts;
};

// Row of the table of settings.
struct SettingEntry {
  std::string_view Section;
  std::string_view Key;
  std::string_view Default;
  std::string_view Unit;
  std::string_view Choices;
  std::string_view Meaning;
  std::int64_t Minimum = 0;
  std::int64_t Maximum = 0;
  void (*Store)(NodeSettings &, SettingValue &&) = nullptr;
  SettingType Type = SettingType::Text;
  // True if the key has no default.
  bool Required = false;
  // True if a running node applies a new value.
  bool Live = false;
};

// All keys of a settings file except those of section [static].
[[nodiscard]] std::span<const SettingEntry> settingTable();

// Accepted values of a key in words, for messages and the reference page.
[[nodiscard]] std::string rangeText(const SettingEntry &Entry);

} // namespace magnolia::settings

#endif
