#ifndef SETTINGS_RECORD_FORMAT_RECORD_H
#define SETTINGS_RECORD_FORMAT_RECORD_H

#include "settings/record/contact_record.h"
#include "settings/record/service_record.h"
#include "settings/record/stored_rollout.h"
#include "settings/record/zone_record.h"

#include <string>
#include <string_view>

namespace magnolia::settings {

// JSON values for the store. Time points are stored in milliseconds.
[[nodiscard]] std::string formatService(const ServiceRecord &Service);
[[nodiscard]] std::string formatZone(const ZoneRecord &Zone);
[[nodiscard]] std::string formatRollout(const StoredRollout &Stored);
[[nodiscard]] std::string formatContact(const ContactRecord &Contact);

// Name of a phase in the store and in messages.
[[nodiscard]] std::string_view toString(policy::RolloutPhase Phase);

} // namespace magnolia::settings

#endif
