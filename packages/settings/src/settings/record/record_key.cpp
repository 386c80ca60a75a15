#include "settings/record/record_key.h"

#include "settings/record/limits.h"

#include <algorithm>

namespace magnolia::settings {
namespace {

// Independent of the locale.
bool isAlphanumeric(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9');
}

std::string join(std::string_view Prefix, std::string_view Name) {
  std::string Key(Prefix);
  Key.append(Name);
  return Key;
}

} // namespace

std::string serviceKey(std::string_view Service) {
  return join(ServicePrefix, Service);
}

std::string zoneKey(std::string_view Zone) { return join(ZonePrefix, Zone); }

std::string rolloutKey(std::string_view Service) {
  return join(RolloutRecordPrefix, Service);
}

std::string rolloutRequestKey(std::string_view Service) {
  return join(RolloutRequestPrefix, Service);
}

std::string backendKey(std::string_view Address, std::uint16_t Port) {
  return join(BackendPrefix, Address) + ":" + std::to_string(Port);
}

std::string contactKey(std::string_view Zone, std::uint32_t Slot) {
  return join(ContactPrefix, Zone) + "/" + std::to_string(Slot);
}

bool isName(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameSize || !isAlphanumeric(Text[0])) {
    return false;
  }
  return std::all_of(Text.begin(), Text.end(), [](char Character) {
    return isAlphanumeric(Character) || Character == '.' || Character == '_' ||
           Character == '-';
  });
}

} // namespace magnolia::settings
