#ifndef POLICY_FLEET_SERVING_MEMBER_H
#define POLICY_FLEET_SERVING_MEMBER_H

#include "policy/core/types.h"
#include "policy/membership/member.h"

namespace magnolia::policy {

// A member whose backend server may get requests of a service.
struct ServingMember {
  // Points into the members that the plan was made from.
  const Member *Record = nullptr;
  // Cost of the way from the planning node.
  Duration Distance{0};
};

} // namespace magnolia::policy

#endif
