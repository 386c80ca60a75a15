#ifndef DAEMON_ENTRY_LOCAL_ENDPOINTS_H
#define DAEMON_ENTRY_LOCAL_ENDPOINTS_H

#include "daemon/http/message.h"
#include "daemon/view/local_backend.h"

#include <functional>
#include <string>

namespace magnolia::daemon {

// The node's own endpoints under /-/.
struct LocalEndpoints {
  LocalBackend &Backend;
  // Address of this node: only processes beside it may announce.
  std::string OwnAddress;
  std::function<std::string()> Metrics;
  std::function<std::string()> Dump;
  // Takes the announced state over.
  std::function<void(const LocalBackendState &)> Announce;
};

// Answers a request to the node itself that came from the address.
[[nodiscard]] HttpResponse answerLocal(const LocalEndpoints &Endpoints,
                                       const HttpRequest &Request,
                                       const std::string &RemoteAddress);

} // namespace magnolia::daemon

#endif
