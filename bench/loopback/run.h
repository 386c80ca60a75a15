#ifndef LOOPBACK_RUN_H
#define LOOPBACK_RUN_H

#include "backend_record.h"
#include "control_tool.h"
#include "fleet.h"
#include "options.h"

#include <vector>

namespace magnolia::bench {

// Runs one deployment with one fault and prints a line per measure. Returns
// true if every bound was met.
bool runLoopback(const Options &Given);

// Second number of the addresses of this process's deployment.
[[nodiscard]] int addressBlock();

// Starts the deployment, publishes its settings and waits until every entry
// node gets responses from every service. Throws if that takes too long.
void startDeployment(Fleet &Run, ControlTool &Tool, const Options &Given);

// Fetches the records of all backend servers. Throws if one is missing.
[[nodiscard]] std::vector<BackendRecord> fetchRecords(const Fleet &Run);

} // namespace magnolia::bench

#endif
