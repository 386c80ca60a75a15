#ifndef DAEMON_ENTRY_HTTP_SERVICE_STATE_H
#define DAEMON_ENTRY_HTTP_SERVICE_STATE_H

#include "daemon/dialect/dialect.h"
#include "daemon/entry/caller_watch.h"
#include "daemon/entry/http_service_options.h"
#include "daemon/http/message.h"
#include "daemon/metrics/metrics.h"

#include <atomic>
#include <cstddef>
#include <functional>

namespace magnolia::daemon {

// What all connections of an HTTP service share.
struct HttpServiceState {
  // Returns the response to a request.
  using Handler = std::function<HttpResponse(HttpRequest, CallerWatch &)>;
  // Returns the caller limits currently in effect.
  using LimitSource = std::function<settings::CallerLimits()>;
  // True if the request may run beside other requests of its connection.
  using OverlapQuery = std::function<bool(const HttpRequest &)>;

  [[nodiscard]] HttpServiceOptions currentOptions() const {
    return Configured ? applyCallerLimits(Options, Configured()) : Options;
  }

  const Handler Handle;
  Metrics &Counts;
  const Dialect &Speaks;
  const HttpServiceOptions Options;
  const LimitSource Configured;
  // Empty if requests run one after the other.
  const OverlapQuery MayOverlap;
  std::atomic<bool> Closing = false;
  // Requests that run beside an earlier one of their connection.
  std::atomic<std::size_t> Fibers = 0;
};

} // namespace magnolia::daemon

#endif
