#include "settings/node/setting_changes.h"

#include "settings/node/setting_entry.h"

#include <ini.h>

#include <algorithm>
#include <map>
#include <utility>

namespace magnolia::settings {

namespace {

using Values = std::map<std::pair<std::string, std::string>, std::string>;

int onKey(void *User, const char *Section, const char *Key, const char *Text) {
  static_cast<Values *>(User)->insert_or_assign({Section, Key},
                                                Text ? Text : "");
  return 1;
}

// Returns the values of all keys; a missing key has its default.
Values valuesOf(std::string_view Text) {
  Values Read;
  (void)ini_parse_string(std::string(Text).c_str(), onKey, &Read);
  for (const SettingEntry &Entry : settingTable()) {
    Read.try_emplace({std::string(Entry.Section), std::string(Entry.Key)},
                     Entry.Default);
  }
  return Read;
}

bool isLive(const std::string &Section, const std::string &Key) {
  const auto Table = settingTable();
  return std::any_of(Table.begin(), Table.end(), [&](const auto &Entry) {
    return Entry.Live && Entry.Section == Section && Entry.Key == Key;
  });
}

} // namespace

SettingChanges settingChanges(std::string_view Before, std::string_view After) {
  const Values Old = valuesOf(Before);
  Values New = valuesOf(After);
  // Adds the keys that only the old file has, such as those of [static].
  for (const auto &[Place, Value] : Old) {
    New.try_emplace(Place, std::string());
  }
  SettingChanges Changes;
  for (const auto &[Place, Value] : New) {
    const auto Known = Old.find(Place);
    if (Known != Old.end() && Known->second == Value) {
      continue;
    }
    const auto &[Section, Key] = Place;
    std::string &List =
        isLive(Section, Key) ? Changes.Applied : Changes.AtNextStart;
    List.append(List.empty() ? "" : ",")
        .append(Section)
        .append(".")
        .append(Key);
  }
  return Changes;
}

} // namespace magnolia::settings
