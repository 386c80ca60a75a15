#ifndef DAEMON_VIEW_LOCAL_BACKEND_H
#define DAEMON_VIEW_LOCAL_BACKEND_H

#include "policy/core/types.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace magnolia::daemon {

// State of the local backend server, from its announcement or the settings.
struct LocalBackendState {
  std::string Service;
  std::string Version;
  // Instance name that the backend server announced; empty if it gave none.
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

// State of the local backend server, shared by all threads.
class LocalBackend {
public:
  // Called on each change by the thread that made it. It must be set before
  // other threads use the object.
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
