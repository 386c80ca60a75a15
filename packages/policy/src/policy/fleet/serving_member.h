#ifndef POLICY_FLEET_SERVING_MEMBER_H
#define POLICY_FLEET_SERVING_MEMBER_H

#include "policy/core/types.h"
#include "policy/membership/member.h"

namespace magnolia::policy {

// A member whose backend server may receive requests of a service.
struct ServingMember {
  // Points into the members from which the plan was made.
  const Member *Record = nullptr;
  // Round-trip cost of a request from the planning node.
  Duration Distance{0};
};

} // namespace magnolia::policy

#endif
