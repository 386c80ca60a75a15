#ifndef SETTINGS_RECORD_ORGANISATION_RECORD_H
#define SETTINGS_RECORD_ORGANISATION_RECORD_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::settings {

// Organisation whose callers send one of its keys with each request.
struct OrganisationRecord {
  std::string Name;
  // Secrets: they appear in no log line, dump or error text.
  std::vector<std::string> Keys;
  // Replaces the priority of the routes, if it is set; 0 is the most urgent.
  std::optional<std::uint32_t> Priority;

  bool operator==(const OrganisationRecord &) const = default;
};

} // namespace magnolia::settings

#endif
