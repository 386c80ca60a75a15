#ifndef DAEMON_ENTRY_HTTP_SERVICE_H
#define DAEMON_ENTRY_HTTP_SERVICE_H

#include "daemon/dialect/dialect.h"
#include "daemon/http/reader.h"
#include "daemon/metrics/metrics.h"
#include "daemon/net/connection_server.h"
#include "settings/record/caller_limits.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>

namespace magnolia::daemon {

class Entry;
struct LocalEndpoints;

struct HttpServiceOptions {
  HttpLimits Limits;
  // Memory for the bodies of requests; null for no limit on their sum.
  BodyMemory *Memory = nullptr;
  // Maximum idle time between two requests on a connection.
  policy::Duration Idle{};
  // Maximum pause within a request or response.
  policy::Duration Read{};
  // Maximum time from the first to the last byte of a request head; 0 means no
  // limit.
  policy::Duration Head{};
};

// Returns the options with the caller limits of the configuration applied. The
// node's own size limits protect its memory, so the smaller size limit applies.
[[nodiscard]] HttpServiceOptions
applyCallerLimits(const HttpServiceOptions &NodeOptions,
                  const settings::CallerLimits &Configured);

// Serves connections: reads requests, passes them to the handler and writes the
// responses in order. A request that a caller sends before the response to an
// earlier one waits, and its time counts from the start of that one, the
// earliest time at which it can have arrived.
class HttpService {
public:
  // Returns the response to a request received on the descriptor.
  using Handler = std::function<HttpResponse(HttpRequest Request, int Fd)>;
  // Returns the caller limits currently in effect.
  using LimitSource = std::function<settings::CallerLimits()>;

  HttpService(Handler Handle, Metrics &Counts, const Dialect &Speaks,
              const HttpServiceOptions &Options, LimitSource Configured = {})
      : Handle(std::move(Handle)), Counts(Counts), Speaks(Speaks),
        Options(Options), Configured(std::move(Configured)) {}

  void serve(Session &Accepted);
  // Sends an error response on a connection that exceeds the maximum count.
  void refuse(int Fd);
  // Makes every further response close its connection.
  void beginClose() { Closing = true; }

private:
  // Reads one request. Returns nothing if the connection has ended or must be
  // closed. Resets WaitedSince if the request had not arrived before the call.
  [[nodiscard]] std::optional<HttpRequest>
  readRequest(HttpReader &Reader, Session &Accepted,
              std::optional<policy::TimePoint> &WaitedSince);
  [[nodiscard]] HttpServiceOptions currentOptions() const;
  // Returns false if the connection ended or no more bytes arrived in time.
  [[nodiscard]] static bool awaitBytes(const HttpReader &Reader,
                                       const Session &Accepted,
                                       const HttpServiceOptions &Current,
                                       policy::TimePoint HeadStart);
  // Responds to a request that was not read whole and does not run.
  void rejectUnread(int Fd, HttpReadStatus Status, const HttpLimits &Limits);
  [[nodiscard]] bool write(int Fd, const HttpResponse &Response,
                           std::string_view Method);

  const Handler Handle;
  Metrics &Counts;
  const Dialect &Speaks;
  const HttpServiceOptions Options;
  const LimitSource Configured;
  std::atomic<bool> Closing = false;
};

// Runs a request of a caller, or responds to one addressed to the node itself.
[[nodiscard]] HttpResponse serveCaller(Entry &Owner,
                                       const LocalEndpoints &Local,
                                       HttpRequest Request, int Fd);

} // namespace magnolia::daemon

#endif
