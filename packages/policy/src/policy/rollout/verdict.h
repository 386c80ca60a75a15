#ifndef POLICY_ROLLOUT_VERDICT_H
#define POLICY_ROLLOUT_VERDICT_H

#include <cstdint>
#include <string>

namespace magnolia::policy {

enum class VerdictKind : std::uint8_t { None, Bad };

// Verdict on the new version of a rollout. It only ever becomes worse.
struct Verdict {
  VerdictKind Kind = VerdictKind::None;
  // Route and comparison that led to a bad verdict, for operators.
  std::string Reason;
};

// Merges the verdicts of two nodes: a bad one wins, and of two bad ones Left
// keeps its reason.
[[nodiscard]] Verdict joinVerdict(const Verdict &Left, const Verdict &Right);

} // namespace magnolia::policy

#endif
