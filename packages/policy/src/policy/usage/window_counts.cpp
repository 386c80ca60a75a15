#include "policy/usage/window_counts.h"

namespace magnolia::policy {

std::uint64_t addCounts(OrganisationCounts &Sum,
                        const OrganisationCounts &Added) {
  std::uint64_t LeftOut = 0;
  for (const auto &[Name, Count] : Added) {
    const auto Found = Sum.find(Name);
    if (Found != Sum.end()) {
      Found->second += Count;
    } else if (Sum.size() < MaxUsageOrganisations) {
      Sum.emplace(Name, Count);
    } else {
      LeftOut += Count;
    }
  }
  return LeftOut;
}

} // namespace magnolia::policy
