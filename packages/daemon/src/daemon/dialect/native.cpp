#include "daemon/dialect/dialect.h"
#include "policy/chain/chain_headers.h"
#include "policy/core/parse_json.h"

#include <nlohmann/json.hpp>

namespace magnolia::daemon {

namespace {

std::uint16_t statusOf(policy::ErrorKind Kind) {
  return policy::errorEntry(Kind).Status;
}

std::optional<BackendHealth> readHealth(const HttpResponse &Response) {
  const auto Json = policy::parseJson(Response.Body);
  if (!Json.is_object()) {
    return std::nullopt;
  }
  BackendHealth Health{.Healthy = true};
  const auto Run = Json.find("incarnation");
  if (Run != Json.end() && Run->is_number_unsigned()) {
    Health.Run = Run->get<policy::Incarnation>();
  }
  return Health;
}

} // namespace

const Dialect &nativeDialect() {
  static const Dialect Native = {
      .Headers = {.RequestId = policy::RequestIdHeader,
                  .Deadline = policy::DeadlineHeader,
                  .Hops = policy::HopsHeader,
                  .NotRun = "Backend-Shed",
                  .Draining = "Backend-Draining",
                  .Incarnation = "Magnolia-Backend-Incarnation"},
      .ReadinessPath = "/-/health",
      .ReadHealth = readHealth,
      .StatusOf = statusOf,
      .OpenStore = store::httpStore};
  return Native;
}

} // namespace magnolia::daemon
