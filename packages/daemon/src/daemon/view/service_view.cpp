#include "daemon/view/service_view.h"

#include <algorithm>

namespace magnolia::daemon {

const RouteRule *findRule(const ServiceView &Service, std::string_view Path) {
  const RouteRule *Best = nullptr;
  for (const RouteRule &Rule : Service.Rules) {
    if (Path.starts_with(Rule.PathPrefix) &&
        (!Best || Rule.PathPrefix.size() > Best->PathPrefix.size())) {
      Best = &Rule;
    }
  }
  return Best;
}

bool isIdempotent(const RouteRule *Rule, std::string_view Method) {
  if (Rule && Rule->Idempotent) {
    return *Rule->Idempotent;
  }
  if (Rule && !Rule->IdempotentMethods.empty()) {
    return std::find(Rule->IdempotentMethods.begin(),
                     Rule->IdempotentMethods.end(),
                     Method) != Rule->IdempotentMethods.end();
  }
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
}

} // namespace magnolia::daemon
