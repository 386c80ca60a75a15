#ifndef POLICY_MOVE_VERDICT_H
#define POLICY_MOVE_VERDICT_H

#include <cstdint>
#include <string>

namespace magnolia::policy {

enum class VerdictKind : std::uint8_t { None, Bad };

// What is held of the new version of a move. It only ever becomes worse.
struct Verdict {
  VerdictKind Kind = VerdictKind::None;
  // Route and comparison behind a bad verdict, for operators.
  std::string Reason;
};

// Joins what two nodes hold: bad wins, and the first reason stays.
[[nodiscard]] Verdict joinVerdict(const Verdict &Left, const Verdict &Right);

} // namespace magnolia::policy

#endif
