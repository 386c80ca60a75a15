#include "settings/node/internal/parse_value.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <vector>

namespace magnolia::settings::internal {

namespace {

std::string_view trimmed(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos) {
    return {};
  }
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

std::vector<std::string_view> split(std::string_view Text, char Separator) {
  std::vector<std::string_view> Parts;
  for (std::size_t End = Text.find(Separator); End != std::string_view::npos;
       End = Text.find(Separator)) {
    Parts.push_back(trimmed(Text.substr(0, End)));
    Text.remove_prefix(End + 1);
  }
  Parts.push_back(trimmed(Text));
  return Parts;
}

std::optional<std::int64_t>
numberOf(std::string_view Text, std::int64_t Minimum, std::int64_t Maximum) {
  std::int64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Fault] = std::from_chars(Text.data(), End, Number);
  if (Fault != std::errc() || Rest != End || Number < Minimum ||
      Number > Maximum) {
    return std::nullopt;
  }
  return Number;
}

bool isAddress(std::string_view Text) {
  in_addr Parsed{};
  return inet_pton(AF_INET, std::string(Text).c_str(), &Parsed) == 1;
}

std::optional<std::uint16_t> portOf(std::string_view Text) {
  const std::optional<std::int64_t> Number = numberOf(Text, 1, 65'535);
  if (!Number) {
    return std::nullopt;
  }
  return static_cast<std::uint16_t>(*Number);
}

std::optional<HostPort> hostPortOf(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || !isAddress(Text.substr(0, Colon))) {
    return std::nullopt;
  }
  const auto Port = portOf(Text.substr(Colon + 1));
  if (!Port) {
    return std::nullopt;
  }
  return HostPort{.Address = std::string(Text.substr(0, Colon)), .Port = *Port};
}

bool parseContacts(const SettingEntry &Entry, std::string_view Text,
                   SettingValue &Value) {
  for (const std::string_view Part : split(Text, ',')) {
    if (Part.empty()) {
      continue;
    }
    const std::optional<HostPort> Contact = hostPortOf(Part);
    if (!Contact) {
      return false;
    }
    Value.Contacts.push_back(*Contact);
  }
  return static_cast<std::int64_t>(Value.Contacts.size()) <= Entry.Maximum;
}

bool isText(const SettingEntry &Entry, std::string_view Text) {
  const auto Length = static_cast<std::int64_t>(Text.size());
  return Length >= Entry.Minimum && Length <= Entry.Maximum &&
         std::none_of(Text.begin(), Text.end(), [](unsigned char Byte) {
           return Byte < ' ' || Byte == 0x7F;
         });
}

} // namespace

std::optional<SettingValue> parseValue(const SettingEntry &Entry,
                                       std::string_view Text) {
  SettingValue Value;
  Value.Text = Text;
  bool Valid = false;
  switch (Entry.Type) {
  case SettingType::Text:
    Valid = isText(Entry, Text);
    break;
  case SettingType::Address:
    Valid = isAddress(Text);
    break;
  case SettingType::Number: {
    const auto Number = numberOf(Text, Entry.Minimum, Entry.Maximum);
    Valid = Number.has_value();
    Value.Number = Number.value_or(0);
    break;
  }
  case SettingType::Choice: {
    const auto Words = split(Entry.Choices, '|');
    Valid = std::find(Words.begin(), Words.end(), Text) != Words.end();
    break;
  }
  case SettingType::Contacts:
    Valid = parseContacts(Entry, Text, Value);
    break;
  case SettingType::Endpoint:
    Valid = Text.empty() ||
            (parseContacts(Entry, Text, Value) && Value.Contacts.size() == 1);
    break;
  }
  return Valid ? std::optional(std::move(Value)) : std::nullopt;
}

std::optional<StaticEndpoint> parseStaticEndpoint(std::string_view Text) {
  const std::vector<std::string_view> Parts = split(Text, ',');
  if (Parts.size() != 5 || !isAddress(Parts[1]) ||
      std::any_of(Parts.begin(), Parts.end(),
                  [](std::string_view Part) { return Part.empty(); })) {
    return std::nullopt;
  }
  const auto Port = portOf(Parts[2]);
  if (!Port) {
    return std::nullopt;
  }
  return StaticEndpoint{.Service = std::string(Parts[0]),
                        .Address = std::string(Parts[1]),
                        .PeerPort = *Port,
                        .Zone = std::string(Parts[3]),
                        .Version = std::string(Parts[4])};
}

} // namespace magnolia::settings::internal
