#ifndef DAEMON_DIALECT_DIALECT_H
#define DAEMON_DIALECT_DIALECT_H

#include "daemon/dialect/backend_health.h"
#include "daemon/dialect/header_names.h"
#include "daemon/dialect/usage_call.h"
#include "daemon/http/message.h"
#include "policy/announce/backend_report.h"
#include "policy/core/error.h"
#include "policy/core/error_kind.h"
#include "policy/core/types.h"
#include "policy/usage/usage_options.h"
#include "store/client/http_store.h"
#include "store/core/store_operations.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::daemon {

// Names and formats by which a deployment communicates with the node. The
// dialect does not affect the decisions of the node.
struct Dialect {
  HeaderNames Headers;
  // True if the routing table selects the service by the host and path of a
  // request, false if a header or the first label of the host names it.
  bool RoutesByHost = false;
  // True if the caller's request id is forwarded unchanged to the backend
  // server, false if the node assigns an id to each request.
  bool KeepsRequestId = false;
  // True if backend servers echo the request id in each response, so that one
  // without it belongs to no known request.
  bool EchoesRequestId = false;
  // True if callers take status 408, 421, 429 or 503 as a promise that a
  // request did not run and never will.
  bool PromisesByStatus = false;
  // True if backend servers report how long their cold start lasts.
  bool ReportsColdStart = false;
  // True if backend servers abort a request when its connection closes.
  bool DropsOnClose = false;
  // Path of readiness checks.
  std::string_view ReadinessPath;

  // Parses a report of a backend server. Returns nothing and sets LastError if
  // the request is not a valid report.
  std::function<std::optional<policy::BackendReport>(const HttpRequest &Request,
                                                     policy::Error &LastError)>
      ReadReport;
  std::function<std::optional<BackendHealth>(const HttpResponse &Response)>
      ReadHealth;
  // Returns the id of the request that a backend server was running when it
  // made the call with the given id, or an empty string if the id does not
  // contain it. Null if request ids of the dialect never do.
  std::string_view (*ParentOf)(std::string_view RequestId) = nullptr;
  // Returns the processing time on the instance of the backend server, in
  // percent of the usual, if the response states it. Null if responses never
  // do.
  std::optional<std::uint32_t> (*ReadWorkTime)(const HttpResponse &Response) =
      nullptr;
  // Returns the HTTP status of an error response of the system.
  std::uint16_t (*StatusOf)(policy::ErrorKind Kind) = nullptr;
  // Returns the time from the signal to stop until the process is killed, if
  // the [interface] keys of the settings state it. Null if they never do.
  std::optional<policy::Duration> (*ReadStopGrace)(
      const std::map<std::string, std::string> &InterfaceKeys) = nullptr;
  // Returns the memory of the process in bytes, if the same keys state it. Null
  // if they never do.
  std::optional<std::size_t> (*ReadMemoryBytes)(
      const std::map<std::string, std::string> &InterfaceKeys) = nullptr;
  // Returns the capacity of the instance's network link in bytes per second, if
  // the same keys state it. Null if they never do.
  std::optional<double> (*ReadLinkRate)(
      const std::map<std::string, std::string> &InterfaceKeys) = nullptr;
  // Returns the times of the usage report: those that the same keys state, and
  // the given ones for the others. Null if they never state any.
  policy::UsageOptions (*ReadUsageTimes)(
      const std::map<std::string, std::string> &InterfaceKeys,
      const policy::UsageOptions &Given) = nullptr;
  // Returns the request by which a report is sent to its receiver. Null if the
  // dialect has no usage report.
  HttpRequest (*FormatUsage)(const UsageCall &Call) = nullptr;
  store::StoreOperations (*OpenStore)(const store::HttpStoreOptions &Options) =
      nullptr;
};

// Returns the default dialect of the project.
[[nodiscard]] const Dialect &nativeDialect();

} // namespace magnolia::daemon

#endif
