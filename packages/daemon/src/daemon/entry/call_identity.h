#ifndef DAEMON_ENTRY_CALL_IDENTITY_H
#define DAEMON_ENTRY_CALL_IDENTITY_H

#include "daemon/http/message.h"
#include "daemon/sidecar/running_request.h"
#include "daemon/view/organisation_index.h"
#include "policy/core/error.h"

#include <cstdint>
#include <optional>
#include <string>

namespace magnolia::settings {
struct HostRoute;
} // namespace magnolia::settings

namespace magnolia::daemon {

struct CallRequest;
struct ClusterView;
struct Dialect;
struct StatedCaller;

// For whom a request runs.
struct CallIdentity {
  // Empty if the request has no organisation.
  std::string Organisation;
  // Priority at the sidecar.
  std::uint32_t Priority = 0;
  // True if the backend server is told the organisation.
  bool StatesOrganisation = false;
  // Set if the request was accepted because of its key.
  std::optional<KeyDigest> Key;
};

// Finds out for whom the request runs. Parent is the local request that makes
// the call, if there is one. Returns nothing, sets the error and writes a log
// line if the request must not run; neither contains the key.
[[nodiscard]] std::optional<CallIdentity>
identify(const Dialect &Speaks, const ClusterView &View,
         const settings::HostRoute &Route, const HttpRequest &Request,
         const std::optional<RunningRequest> &Parent, policy::Error &LastError);

// Finds out for whom a request of the stated caller would run, without its key.
// A nested call has the priority of its organisation, or of its own route if
// the organisation has none: the route of the parent is not stated. Returns
// nothing and sets the error if the request would be refused. An organisation
// that does not exist counts as a missing key.
[[nodiscard]] std::optional<CallIdentity>
identifyStated(const ClusterView &View, const settings::HostRoute &Route,
               const StatedCaller &Caller, policy::Error &LastError);

// Puts the identity into the request. If organisations are configured, removes
// the headers of the key and of the organisation that the caller sent.
void applyIdentity(const Dialect &Speaks, const ClusterView &View,
                   const CallIdentity &Identity, CallRequest &Request);

// Returns the kind of the refusal if the organisation does not have the key any
// more.
[[nodiscard]] std::optional<policy::ErrorKind>
refusalOf(const ClusterView &View, const KeyDigest &Key,
          std::string_view Organisation);

} // namespace magnolia::daemon

#endif
