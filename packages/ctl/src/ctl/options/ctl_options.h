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
  Where,
};

// Command line of magnoliactl.
struct CtlOptions {
  Command Selected = Command::Help;
  // Folders, a zone, a service or keys, depending on the command.
  std::vector<std::string> Arguments;
  std::optional<settings::HostPort> Store;
  // Control addresses of nodes.
  std::vector<settings::HostPort> Nodes;
  std::string KeyFile;
  // Address on which a node serves its dump over HTTP.
  std::optional<settings::HostPort> Http;
  bool Json = false;
  // Limits each call to the store and, separately, the wait until the change is
  // in effect.
  std::chrono::milliseconds Timeout{10'000};
  std::string From;
  std::string To;
  std::string Deadline;
  std::string Reason;
  // Request of the command where.
  std::string Host;
  std::string Method = "GET";
  std::string Organisation;
  bool Nested = false;
  // Name written into records for other operators.
  std::string Operator;
};

} // namespace magnolia::ctl

#endif
