#ifndef DAEMON_SIDECAR_RUNNING_REQUEST_H
#define DAEMON_SIDECAR_RUNNING_REQUEST_H

#include <cstdint>
#include <string>

namespace magnolia::daemon {

// What nested calls inherit from the request that makes them.
struct RunningRequest {
  std::string Organisation;
  // 0 is the highest.
  std::uint32_t Priority = 0;
  std::string Route;
  // True if the request had reached another backend server before.
  bool Repeat = false;
  // True once a nested call of the request was rejected.
  bool LostCall = false;
};

} // namespace magnolia::daemon

#endif
