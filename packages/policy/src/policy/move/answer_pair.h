#ifndef POLICY_MOVE_ANSWER_PAIR_H
#define POLICY_MOVE_ANSWER_PAIR_H

#include "policy/move/version_counts.h"

namespace magnolia::policy {

// Answers of both versions at the same time.
struct AnswerPair {
  VersionCounts New;
  VersionCounts Old;
};

} // namespace magnolia::policy

#endif
