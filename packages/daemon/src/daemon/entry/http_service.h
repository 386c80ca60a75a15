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
  // Longest time between two requests of a connection.
  policy::Duration Idle{};
  // Longest pause within a request or answer.
  policy::Duration Read{};
  // Longest time from the first byte of a head to its last; 0: no limit.
  policy::Duration Head{};
};

// Options with what the configuration says of callers. The node's own limits
// on sizes protect its memory and hold beside those.
[[nodiscard]] HttpServiceOptions
limitedBy(const HttpServiceOptions &Own,
          const settings::CallerLimits &Configured);

// Serves connections: reads requests, has them answered and writes the
// answers, one after the other.
class HttpService {
public:
  // Answers one request that came in on the descriptor.
  using Handler = std::function<HttpResponse(HttpRequest Request, int Fd)>;
  // Limits of callers that are in force now.
  using LimitSource = std::function<settings::CallerLimits()>;

  HttpService(Handler Answer, Metrics &Counts, const Dialect &Speaks,
              const HttpServiceOptions &Options, LimitSource Configured = {})
      : Answer(std::move(Answer)), Counts(Counts), Speaks(Speaks),
        Options(Options), Configured(std::move(Configured)) {}

  void serve(Session &Accepted);
  // Answers a connection over the maximum.
  void refuse(int Fd);
  // From now on each answer ends its connection.
  void beginClose() { Closing = true; }

private:
  // Reads one request. Nothing: the connection ended or is to be closed.
  [[nodiscard]] std::optional<HttpRequest> readRequest(HttpReader &Reader,
                                                       Session &Accepted);
  [[nodiscard]] HttpServiceOptions inForce() const;
  // False where the connection ended or gave no more bytes in time.
  [[nodiscard]] static bool awaitBytes(const HttpReader &Reader,
                                       const Session &Accepted,
                                       const HttpServiceOptions &Current,
                                       policy::TimePoint HeadBegan);
  void rejectMalformed(int Fd, HttpReadStatus Status, const HttpLimits &Limits);
  [[nodiscard]] bool write(int Fd, const HttpResponse &Response,
                           std::string_view Method);

  const Handler Answer;
  Metrics &Counts;
  const Dialect &Speaks;
  const HttpServiceOptions Options;
  const LimitSource Configured;
  std::atomic<bool> Closing = false;
};

// Runs a request of a caller, or answers one to the node itself.
[[nodiscard]] HttpResponse serveCaller(Entry &Owner,
                                       const LocalEndpoints &Local,
                                       HttpRequest Request, int Fd);

} // namespace magnolia::daemon

#endif
