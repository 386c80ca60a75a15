#ifndef DAEMON_ENTRY_HTTP_SERVICE_H
#define DAEMON_ENTRY_HTTP_SERVICE_H

#include "daemon/entry/fwd.h"
#include "daemon/entry/http_service_state.h"
#include "daemon/net/connection_server.h"

#include <utility>

namespace magnolia::daemon {

class Entry;
struct LocalEndpoints;

// Serves connections: reads requests, passes them to the handler and writes the
// responses in the order of the requests. On a fiber, requests that may overlap
// run at the same time; all others run one after the other. The time of a
// request counts from its arrival.
class HttpService {
public:
  using Handler = HttpServiceState::Handler;
  using LimitSource = HttpServiceState::LimitSource;
  using OverlapQuery = HttpServiceState::OverlapQuery;

  HttpService(Handler Handle, Metrics &Counts, const Dialect &Speaks,
              const HttpServiceOptions &Options, LimitSource Configured = {},
              OverlapQuery MayOverlap = {})
      : State{.Handle = std::move(Handle),
              .Counts = Counts,
              .Speaks = Speaks,
              .Options = Options,
              .Configured = std::move(Configured),
              .MayOverlap = std::move(MayOverlap)} {}

  void serve(Session &Accepted);
  // Sends an error response on a connection that exceeds the maximum count.
  void refuse(Session &Accepted);
  // Makes each connection close with the response to the last request that was
  // read.
  void beginClose() { State.Closing = true; }

private:
  HttpServiceState State;
};

// Runs a request of a caller, or responds to one addressed to the node itself.
[[nodiscard]] HttpResponse serveCaller(Entry &Owner,
                                       const LocalEndpoints &Local,
                                       HttpRequest Request, CallerWatch &From);

} // namespace magnolia::daemon

#endif
