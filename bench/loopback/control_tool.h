#ifndef LOOPBACK_CONTROL_TOOL_H
#define LOOPBACK_CONTROL_TOOL_H

#include "child_process.h"
#include "fleet.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::bench {

// Runs magnoliactl, as an operator would.
class ControlTool {
public:
  ControlTool(std::filesystem::path Program, const Fleet &Run);

  // Runs the command; throws with its output where it fails.
  std::string run(const std::vector<std::string> &Words);

  // The same against another node, without throwing.
  [[nodiscard]] ToolResult ask(const std::vector<std::string> &Words,
                               const std::string &NodeAddress) const;

  // Publishes the service files of all services and waits until every node
  // serves them. Returns the seconds from acceptance until they were in force
  // everywhere, or none after 20 s.
  std::optional<double> publish(int Edition);

  // Revisions of the configuration that a node serves, by key.
  [[nodiscard]] std::map<std::string, std::uint64_t>
  revisions(const std::string &NodeAddress) const;

private:
  std::filesystem::path Program;
  const Fleet &Run;
};

// Revisions from the output of magnoliactl status --json.
[[nodiscard]] std::map<std::string, std::uint64_t>
parseRevisions(const std::string &Json);

} // namespace magnolia::bench

#endif
