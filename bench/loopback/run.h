#ifndef LOOPBACK_RUN_H
#define LOOPBACK_RUN_H

#include "backend_record.h"
#include "control_tool.h"
#include "fleet.h"
#include "options.h"

#include <vector>

namespace magnolia::bench {

// Runs one deployment with one fault and prints a line per measure. Returns
// true where every bound was held.
bool runLoopback(const Options &Given);

// Second number of the addresses of this process's deployment.
[[nodiscard]] int addressBlock();

// Starts the deployment, publishes its settings and waits until every entry
// node gets answers from every service. Throws where that takes too long.
void startDeployment(Fleet &Run, ControlTool &Tool, const Options &Given);

// Records of all backend servers; throws where one is missing.
[[nodiscard]] std::vector<BackendRecord> fetchRecords(const Fleet &Run);

} // namespace magnolia::bench

#endif
