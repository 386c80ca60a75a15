#ifndef SETTINGS_RECORD_CHECK_SERVICE_H
#define SETTINGS_RECORD_CHECK_SERVICE_H

#include "settings/record/service_record.h"

#include <optional>
#include <string>

namespace magnolia::settings {

// First field of a service that is out of its range.
struct ServiceFault {
  // Prefix of the route that has the field; empty for a field of the service.
  std::string Route;
  std::string Field;
  // What is wrong, the accepted range and what to change.
  std::string Detail;
};

// Checks every field but the operation id. Empty for a valid service.
[[nodiscard]] std::optional<ServiceFault>
findFault(const ServiceRecord &Service);

} // namespace magnolia::settings

#endif
