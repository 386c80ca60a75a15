#ifndef LOOPBACK_SETTINGS_FILES_H
#define LOOPBACK_SETTINGS_FILES_H

#include "deployment.h"

#include <filesystem>
#include <string>

namespace magnolia::bench {

// Files in the temporary folder that the processes of a run read.

// Text of a node's settings. The contacts are the first instance of each
// zone. With static routes the node needs no control traffic.
[[nodiscard]] std::string nodeSettings(const Deployment &Planned,
                                       const InstancePlan &Instance,
                                       const std::filesystem::path &Folder,
                                       bool StaticRoutes);

// Text of a service file. Its editions differ in one timeout.
[[nodiscard]] std::string serviceFile(const std::string &Service, int Edition);

void writeFile(const std::filesystem::path &File, const std::string &Text);

} // namespace magnolia::bench

#endif
