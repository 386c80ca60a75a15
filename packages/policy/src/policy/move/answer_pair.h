#ifndef POLICY_MOVE_ANSWER_PAIR_H
#define POLICY_MOVE_ANSWER_PAIR_H

#include "policy/move/version_counts.h"

namespace magnolia::policy {

// Responses of both versions over the same period.
struct ResponsePair {
  VersionCounts New;
  VersionCounts Old;
};

} // namespace magnolia::policy

#endif
