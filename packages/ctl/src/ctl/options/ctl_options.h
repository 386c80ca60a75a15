#ifndef CTL_OPTIONS_CTL_OPTIONS_H
#define CTL_OPTIONS_CTL_OPTIONS_H

#include "settings/node/node_settings.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::ctl {

enum class Command : std::uint8_t {
  Help,
  Validate,
  Publish,
  Status,
  Dump,
  ZoneOut,
  ZoneIn,
  MoveStart,
  MoveStatus,
  MoveTakeBack,
  Wait,
};

// Command line of magnoliactl.
struct CtlOptions {
  Command Selected = Command::Help;
  // Folders, a zone, a service or keys, as the command needs.
  std::vector<std::string> Arguments;
  std::optional<settings::HostPort> Store;
  // Control addresses of nodes.
  std::vector<settings::HostPort> Nodes;
  std::string KeyFile;
  bool Json = false;
  // Bound on the calls to the store, and again on the wait until the change
  // is in force.
  std::chrono::milliseconds Timeout{10'000};
  std::string From;
  std::string To;
  std::string Deadline;
  std::string Reason;
  // Written into records, for other operators.
  std::string Operator;
};

} // namespace magnolia::ctl

#endif
