#ifndef DAEMON_ENTRY_LOCAL_ENDPOINTS_H
#define DAEMON_ENTRY_LOCAL_ENDPOINTS_H

#include "daemon/dump/where.h"
#include "daemon/http/message.h"
#include "daemon/view/local_backend.h"

#include <functional>
#include <string>

namespace magnolia::daemon {

// The node's own endpoints under /-/.
struct LocalEndpoints {
  LocalBackend &Backend;
  // Address of this node. Only processes on the same host may announce
  // themselves.
  std::string OwnAddress;
  std::function<std::string()> Metrics;
  std::function<std::string()> Dump;
  // Applies the announced state.
  std::function<void(const LocalBackendState &)> Announce;
  // Explains where a request would go, as JSON.
  std::function<std::string(const WhereQuery &)> Where = {};
};

// Responds to a request to the node itself.
[[nodiscard]] HttpResponse answerLocal(const LocalEndpoints &Endpoints,
                                       const HttpRequest &Request);

} // namespace magnolia::daemon

#endif
