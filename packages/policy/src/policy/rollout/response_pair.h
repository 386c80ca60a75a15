#ifndef POLICY_ROLLOUT_RESPONSE_PAIR_H
#define POLICY_ROLLOUT_RESPONSE_PAIR_H

#include "policy/rollout/version_counts.h"

namespace magnolia::policy {

// Responses of both versions over the same period.
struct ResponsePair {
  VersionCounts New;
  VersionCounts Old;
};

inline void addPair(ResponsePair &Sum, const ResponsePair &Added) {
  addCounts(Sum.New, Added.New);
  addCounts(Sum.Old, Added.Old);
}

} // namespace magnolia::policy

#endif
