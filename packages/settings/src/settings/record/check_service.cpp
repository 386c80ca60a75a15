#include "settings/record/check_service.h"

#include "settings/record/limits.h"
#include "settings/record/record_key.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace magnolia::settings {
namespace {

bool isPrefix(std::string_view Prefix) {
  return !Prefix.empty() && Prefix.size() <= MaxPrefixSize &&
         Prefix[0] == '/' &&
         std::all_of(Prefix.begin(), Prefix.end(), [](char Character) {
           return Character > ' ' && Character < '\x7f' && Character != '?' &&
                  Character != '#';
         });
}

bool isMethod(std::string_view Method) {
  return !Method.empty() && Method.size() <= MaxMethodSize &&
         std::all_of(Method.begin(), Method.end(), [](char Character) {
           return Character >= 'A' && Character <= 'Z';
         });
}

// False for NaN as well.
bool isWithin(double Value, double Maximum) {
  return Value >= 0.0 && Value <= Maximum;
}

std::optional<ServiceFault> faultOfRoute(const RouteRecord &Route) {
  const std::string &Prefix = Route.Prefix;
  if (!isPrefix(Prefix)) {
    return ServiceFault{Prefix, "prefix",
                        "a path prefix starts with '/' and has at most 256 "
                        "visible ASCII characters without '?' and '#'"};
  }
  if (Route.IdempotentMethods.size() > MaxMethods ||
      !std::all_of(Route.IdempotentMethods.begin(),
                   Route.IdempotentMethods.end(), isMethod)) {
    return ServiceFault{Prefix, "methods",
                        "expected at most 16 HTTP methods in capital letters, "
                        "for example GET, HEAD, PUT"};
  }
  if (!Route.IdempotentMethods.empty() && Route.Idempotent) {
    return ServiceFault{Prefix, "idempotent",
                        "methods and idempotent exclude each other; remove "
                        "one of them"};
  }
  if (Route.TimeoutMs > MaxTimeoutMs) {
    return ServiceFault{Prefix, "timeout_ms",
                        "expected 1 to 600000 milliseconds, or 0 for the "
                        "default of the node"};
  }
  return std::nullopt;
}

std::optional<ServiceFault> faultOfRoutes(const ServiceRecord &Service) {
  if (Service.Routes.size() > MaxRoutes) {
    return ServiceFault{{}, "routes", "a service has at most 200 routes"};
  }
  std::set<std::string_view> Prefixes;
  for (const RouteRecord &Route : Service.Routes) {
    if (auto Fault = faultOfRoute(Route)) {
      return Fault;
    }
    if (!Prefixes.insert(Route.Prefix).second) {
      return ServiceFault{Route.Prefix, "prefix",
                          "the route appears twice; join the two"};
    }
  }
  return std::nullopt;
}

} // namespace

std::optional<ServiceFault> findFault(const ServiceRecord &Service) {
  if (!isName(Service.Service)) {
    return ServiceFault{{},
                        "name",
                        "expected 1 to 64 letters, digits, '.', '_' and '-', "
                        "starting with a letter or digit"};
  }
  if (!Service.Version.empty() && !isName(Service.Version)) {
    return ServiceFault{{},
                        "version",
                        "expected a version of 1 to 64 letters, digits, '.', "
                        "'_' and '-'"};
  }
  if (!isWithin(Service.RetryRatio, MaxRetryRatio)) {
    return ServiceFault{{}, "retry_ratio", "expected a number from 0 to 1"};
  }
  if (!isWithin(Service.ProbeRatio, MaxProbeRatio)) {
    return ServiceFault{{}, "probe_ratio", "expected a number from 0 to 1"};
  }
  if (!isWithin(Service.ProbeFloor, MaxProbeFloor)) {
    return ServiceFault{
        {}, "probe_floor", "expected 0 to 1000 probes per second"};
  }
  if (Service.HedgePercent && *Service.HedgePercent > MaxHedgePercent) {
    return ServiceFault{{}, "hedge_percent", "expected 0 to 20 percent"};
  }
  return faultOfRoutes(Service);
}

} // namespace magnolia::settings
