#ifndef DAEMON_VIEW_LOCAL_BACKEND_H
#define DAEMON_VIEW_LOCAL_BACKEND_H

#include "policy/core/types.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace magnolia::daemon {

// What the node's own backend server announced, or the settings state.
struct LocalBackendState {
  std::string Service;
  std::string Version;
  // Its own name for itself; empty where it states none.
  std::string Instance;
  std::string Address;
  std::uint16_t Port = 0;
  std::uint32_t Slots = 1;
  std::uint32_t Connections = 1;
  policy::Incarnation Run = 0;
  bool Draining = false;
  // False on a node without a backend server.
  bool Present = false;

  bool operator==(const LocalBackendState &) const = default;
};

// Holds the state of the own backend server for all threads.
class LocalBackend {
public:
  // Called on each change by the thread that made it; set it at start.
  using Listener = std::function<void(const LocalBackendState &)>;

  void setListener(Listener NewListener);
  void update(LocalBackendState NewState);
  void setDraining(bool Draining);
  void setPresent(bool Present);
  void setIncarnation(policy::Incarnation Run);

  [[nodiscard]] LocalBackendState state() const;

private:
  void change(const std::function<void(LocalBackendState &)> &Edit);

  Listener OnChange;
  mutable std::mutex Mutex;
  LocalBackendState State;
};

} // namespace magnolia::daemon

#endif
