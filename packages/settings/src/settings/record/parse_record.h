#ifndef SETTINGS_RECORD_PARSE_RECORD_H
#define SETTINGS_RECORD_PARSE_RECORD_H

#include "policy/core/error.h"
#include "settings/record/contact_record.h"
#include "settings/record/service_record.h"
#include "settings/record/stored_rollout.h"
#include "settings/record/zone_record.h"

#include <optional>
#include <string_view>

namespace magnolia::settings {

// Each function parses the JSON value of one key and checks every field against
// its range; the error names the field and the range. Unknown fields are
// ignored, so that nodes can read records of later versions.
[[nodiscard]] std::optional<ServiceRecord>
parseService(std::string_view Value, policy::Error &LastError);
[[nodiscard]] std::optional<ZoneRecord> parseZone(std::string_view Value,
                                                  policy::Error &LastError);
[[nodiscard]] std::optional<StoredRollout>
parseRollout(std::string_view Value, policy::Error &LastError);
[[nodiscard]] std::optional<ContactRecord>
parseContact(std::string_view Value, policy::Error &LastError);

} // namespace magnolia::settings

#endif
