#ifndef SETTINGS_SERVICE_LOAD_SERVICE_FILES_H
#define SETTINGS_SERVICE_LOAD_SERVICE_FILES_H

#include "settings/service/service_file.h"

#include <cstddef>
#include <string>
#include <vector>

namespace magnolia::settings {

// Bounds on one search for service files.
inline constexpr std::size_t MaxServiceFiles = 10'000;
inline constexpr int MaxFolderDepth = 16;

// Outcome of a search. Files is complete only if Faults is empty.
struct LoadedServices {
  std::vector<ServiceFile> Files;
  // One message per invalid file.
  std::vector<std::string> Faults;
};

// Reads all files *.service.ini in the folders and their subfolders, ordered by
// path. Hidden folders and symbolic links are not followed. A path may also
// name a single file. Two files for one service are a fault.
[[nodiscard]] LoadedServices
loadServiceFiles(const std::vector<std::string> &Paths);

} // namespace magnolia::settings

#endif
