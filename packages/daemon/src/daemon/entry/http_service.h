#ifndef DAEMON_ENTRY_HTTP_SERVICE_H
#define DAEMON_ENTRY_HTTP_SERVICE_H

#include "daemon/entry/entry.h"
#include "daemon/entry/local_endpoints.h"
#include "daemon/http/reader.h"
#include "daemon/net/connection_server.h"

#include <atomic>
#include <optional>
#include <string_view>

namespace magnolia::daemon {

struct HttpServiceOptions {
  HttpLimits Limits;
  policy::Duration Idle{};
  policy::Duration Read{};
};

// Serves the connections of callers: reads requests, runs them and writes the
// answers, one after the other.
class HttpService {
public:
  HttpService(Entry &Owner, const LocalEndpoints &Local,
              const HttpServiceOptions &Options)
      : Owner(Owner), Local(Local), Options(Options) {}

  void serve(Session &Accepted);
  // Answers a connection over the maximum.
  void refuse(int Fd);
  // From now on each answer ends its connection.
  void beginClose() { Closing = true; }

private:
  // Reads one request. Nothing: the connection ended or is to be closed.
  [[nodiscard]] std::optional<HttpRequest> readRequest(HttpReader &Reader,
                                                       Session &Accepted);
  [[nodiscard]] HttpResponse answer(HttpRequest Request, int Fd);
  void rejectMalformed(int Fd, HttpReadStatus Status);
  [[nodiscard]] bool write(int Fd, const HttpResponse &Response,
                           std::string_view Method);

  Entry &Owner;
  const LocalEndpoints &Local;
  const HttpServiceOptions Options;
  std::atomic<bool> Closing = false;
};

} // namespace magnolia::daemon

#endif
