#ifndef POLICY_MEMBERSHIP_MEMBER_FACTS_H
#define POLICY_MEMBERSHIP_MEMBER_FACTS_H

#include <string>

namespace magnolia::policy {

// Properties that a node may change about itself while it runs.
struct MemberFacts {
  std::string Service;
  std::string Version;
  bool Draining = false;

  bool operator==(const MemberFacts &) const = default;
};

} // namespace magnolia::policy

#endif
