#ifndef POLICY_CHAIN_ROUTE_ADMISSION_STATE_H
#define POLICY_CHAIN_ROUTE_ADMISSION_STATE_H

#include "policy/chain/admitted_route.h"
#include "policy/chain/ranked_route.h"
#include "policy/chain/route_admission_options.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace magnolia::policy {

// Admission of the routes that one entry node serves. It is rebuilt from
// reports within seconds if it is lost.
struct RouteAdmissionState {
  static constexpr std::size_t MaxRoutes = 128;

  RouteAdmissionOptions Options;
  // By the name of the route and the rank of its requests.
  std::map<std::pair<std::string, std::uint32_t>, AdmittedRoute,
           RankedRouteLess>
      Routes;
  // Requests admitted without a decision because the table was full.
  std::uint64_t Untracked = 0;
};

} // namespace magnolia::policy

#endif
