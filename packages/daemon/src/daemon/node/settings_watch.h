#ifndef DAEMON_NODE_SETTINGS_WATCH_H
#define DAEMON_NODE_SETTINGS_WATCH_H

#include "settings/node/node_settings.h"

#include <sys/stat.h>

#include <optional>
#include <string>

namespace magnolia::daemon {

// Notices changes of the settings file, with or without a signal, and logs what
// each changes. A file that cannot be read or is not valid changes nothing.
class SettingsWatch {
public:
  // Text is what the node was started with.
  SettingsWatch(std::string Path, std::string Text);

  // New settings where the file has changed since the last call. Signalled:
  // it is read and reported even if it looks unchanged.
  [[nodiscard]] std::optional<settings::NodeSettings> check(bool Signalled);

private:
  [[nodiscard]] bool looksChanged();

  const std::string Path;
  // Text of the settings in force.
  std::string Text;
  struct stat Seen {};
};

} // namespace magnolia::daemon

#endif
