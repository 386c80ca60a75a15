#ifndef LOOPBACK_CONTROL_TOOL_H
#define LOOPBACK_CONTROL_TOOL_H

#include "child_process.h"
#include "fleet.h"

#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::bench {

// Revisions of configuration keys by node (address:port).
using NodeRevisions =
    std::map<std::string, std::map<std::string, std::uint64_t>>;

// Runs magnoliactl as an operator would.
class ControlTool {
public:
  ControlTool(std::filesystem::path Program, const Fleet &Run);

  // Runs a command that changes the configuration. Throws an error with its
  // output if it fails. It is no failure if the change is accepted but not yet
  // in effect on every node.
  void change(const std::vector<std::string> &Words);

  // Publishes the service files of all services and waits until every node
  // reports that it serves them. Returns the seconds since the tool started, or
  // none after 20 s.
  std::optional<double> publish(int Edition);

  // Phase of the service's rollout: planned, shifting, done or taken_back;
  // empty if unknown.
  [[nodiscard]] std::string rolloutPhase(const std::string &Service) const;

  // Revisions that all running nodes serve; empty if a node didn't respond.
  [[nodiscard]] NodeRevisions revisions() const;

private:
  [[nodiscard]] ToolResult call(const std::vector<std::string> &Words,
                                bool AllNodes) const;

  std::filesystem::path Program;
  const Fleet &Run;
};

// Parses the output of magnoliactl status --json.
[[nodiscard]] NodeRevisions parseRevisions(const std::string &Json);

// Returns true if each service's key is newer on each node than before.
[[nodiscard]] bool inEffect(const NodeRevisions &Before,
                            const NodeRevisions &Now,
                            const std::vector<std::string> &Services);

} // namespace magnolia::bench

#endif
