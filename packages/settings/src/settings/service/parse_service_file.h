#ifndef SETTINGS_SERVICE_PARSE_SERVICE_FILE_H
#define SETTINGS_SERVICE_PARSE_SERVICE_FILE_H

#include "policy/core/error.h"
#include "settings/service/service_file.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::settings {

inline constexpr std::string_view ServiceFileSuffix = ".service.ini";
inline constexpr std::size_t MaxServiceFileSize = 256UL * 1024;

// Parses the text of a service file. Path is used in messages, which name the
// section, the key and the accepted range or format. The part of the file name
// before the suffix must be the name of the service.
[[nodiscard]] std::optional<ServiceFile>
parseServiceFile(std::string_view Text, const std::string &Path,
                 policy::Error &LastError);

} // namespace magnolia::settings

#endif
