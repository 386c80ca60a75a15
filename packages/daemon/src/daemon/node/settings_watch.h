#ifndef DAEMON_NODE_SETTINGS_WATCH_H
#define DAEMON_NODE_SETTINGS_WATCH_H

#include "settings/node/node_settings.h"

#include <sys/stat.h>

#include <optional>
#include <string>

namespace magnolia::daemon {

// Detects changes of the settings file, with or without a signal, and logs the
// changed settings. A file that is unreadable or invalid changes nothing.
class SettingsWatch {
public:
  // Text is the content of the file at the start of the node.
  SettingsWatch(std::string Path, std::string Text);

  // Returns the new settings if the file has changed since the last call. After
  // a signal the file is read and the result logged even if its status is
  // unchanged.
  [[nodiscard]] std::optional<settings::NodeSettings> check(bool Signalled);

private:
  [[nodiscard]] bool statusChanged();

  const std::string Path;
  // Text of the settings in effect.
  std::string Text;
  struct stat LastStatus {};
};

} // namespace magnolia::daemon

#endif
