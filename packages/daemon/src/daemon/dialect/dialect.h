#ifndef DAEMON_DIALECT_DIALECT_H
#define DAEMON_DIALECT_DIALECT_H

#include "daemon/dialect/backend_health.h"
#include "daemon/dialect/header_names.h"
#include "daemon/http/message.h"
#include "policy/announce/backend_report.h"
#include "policy/core/error.h"
#include "policy/core/error_kind.h"
#include "store/client/http_store.h"
#include "store/core/store_operations.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::daemon {

// How a deployment speaks with the node: names and formats only. Whatever the
// dialect, the node decides the same.
struct Dialect {
  HeaderNames Headers;
  // True where the host and the path of a request select its service by the
  // routing table, false where a header or the first label of the host names
  // it.
  bool RoutesByHost = false;
  // True where the caller's id of a request goes to the backend server as it
  // came, false where the node gives each request an id of its own.
  bool KeepsRequestId = false;
  // True where backend servers tell in their reports how long they are cold,
  // and drop a request when its connection closes.
  bool ReportsColdStart = false;
  bool DropsOnClose = false;
  // Path of readiness checks.
  std::string_view ReadinessPath;

  // Reads a report of a backend server; nothing, with the reason, for bytes
  // that are none.
  std::function<std::optional<policy::BackendReport>(const HttpRequest &Request,
                                                     policy::Error &LastError)>
      ReadReport;
  std::function<std::optional<BackendHealth>(const HttpResponse &Response)>
      ReadHealth;
  // Id of the request by which a backend server was running when it made the
  // call with this id, where the id shows it, else empty; null: no id does.
  std::string_view (*ParentOf)(std::string_view RequestId) = nullptr;
  // Time that work takes on the instance of the backend server, in percent of
  // the usual, where an answer states it; null: no answer does.
  std::optional<std::uint32_t> (*ReadWorkTime)(const HttpResponse &Response) =
      nullptr;
  // Status of an error answer of the system.
  std::uint16_t (*StatusOf)(policy::ErrorKind Kind) = nullptr;
  store::StoreOperations (*OpenStore)(const store::HttpStoreOptions &Options) =
      nullptr;
};

// The project's own dialect.
[[nodiscard]] const Dialect &nativeDialect();

} // namespace magnolia::daemon

#endif
