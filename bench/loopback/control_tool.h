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

// Revisions of configuration keys by node, as address:port.
using NodeRevisions =
    std::map<std::string, std::map<std::string, std::uint64_t>>;

// Runs magnoliactl, as an operator would.
class ControlTool {
public:
  ControlTool(std::filesystem::path Program, const Fleet &Run);

  // Runs a command that changes something; throws with its output where it
  // fails. Not yet in force everywhere is no failure.
  void change(const std::vector<std::string> &Words);

  // Publishes the service files of all services and waits until every node
  // says that it serves them. Returns the seconds from the start of the tool,
  // or none where that took over 20 s.
  std::optional<double> publish(int Edition);

  // Phase of the service's move: planned, shifting, done or taken_back; empty
  // where it isn't known.
  [[nodiscard]] std::string rolloutPhase(const std::string &Service) const;

  // Revisions that all running nodes serve; empty where one didn't respond.
  [[nodiscard]] NodeRevisions revisions() const;

private:
  [[nodiscard]] ToolResult call(const std::vector<std::string> &Words,
                                bool AllNodes) const;

  std::filesystem::path Program;
  const Fleet &Run;
};

// Revisions from the output of magnoliactl status --json.
[[nodiscard]] NodeRevisions parseRevisions(const std::string &Json);

// True where each service's key is newer on each node than it was before.
[[nodiscard]] bool inEffect(const NodeRevisions &Before,
                            const NodeRevisions &Now,
                            const std::vector<std::string> &Services);

} // namespace magnolia::bench

#endif
