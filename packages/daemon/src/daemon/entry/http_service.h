#ifndef DAEMON_ENTRY_HTTP_SERVICE_H
#define DAEMON_ENTRY_HTTP_SERVICE_H

#include "daemon/dialect/dialect.h"
#include "daemon/http/reader.h"
#include "daemon/metrics/metrics.h"
#include "daemon/net/connection_server.h"

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
  policy::Duration Idle{};
  policy::Duration Read{};
};

// Serves connections: reads requests, has them answered and writes the
// answers, one after the other.
class HttpService {
public:
  // Answers one request that came in on the descriptor.
  using Handler = std::function<HttpResponse(HttpRequest Request, int Fd)>;

  HttpService(Handler Answer, Metrics &Counts, const Dialect &Speaks,
              const HttpServiceOptions &Options)
      : Answer(std::move(Answer)), Counts(Counts), Speaks(Speaks),
        Options(Options) {}

  void serve(Session &Accepted);
  // Answers a connection over the maximum.
  void refuse(int Fd);
  // From now on each answer ends its connection.
  void beginClose() { Closing = true; }

private:
  // Reads one request. Nothing: the connection ended or is to be closed.
  [[nodiscard]] std::optional<HttpRequest> readRequest(HttpReader &Reader,
                                                       Session &Accepted);
  void rejectMalformed(int Fd, HttpReadStatus Status);
  [[nodiscard]] bool write(int Fd, const HttpResponse &Response,
                           std::string_view Method);

  const Handler Answer;
  Metrics &Counts;
  const Dialect &Speaks;
  const HttpServiceOptions Options;
  std::atomic<bool> Closing = false;
};

// Runs a request of a caller, or answers one to the node itself.
[[nodiscard]] HttpResponse serveCaller(Entry &Owner,
                                       const LocalEndpoints &Local,
                                       HttpRequest Request, int Fd);

} // namespace magnolia::daemon

#endif
