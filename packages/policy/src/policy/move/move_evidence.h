#ifndef POLICY_MOVE_MOVE_EVIDENCE_H
#define POLICY_MOVE_MOVE_EVIDENCE_H

#include "policy/core/types.h"
#include "policy/move/answer_ring.h"
#include "policy/move/evidence_report.h"
#include "policy/move/move_record.h"
#include "policy/move/route_evidence.h"
#include "policy/move/verdict.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace magnolia::policy {

// What a driver knows of one move: the answers of the present step from all
// entry nodes, and the joined verdict. A new driver starts empty and collects
// for the rest of the step.
struct MoveEvidence {
  static constexpr std::size_t MaxRoutes = 64;
  static constexpr std::size_t MaxReporters = 32'768;

  std::string MoveId;
  std::uint32_t Step = 0;
  // Sums over the whole step; Rings[I] belongs to Routes[I].
  std::vector<RouteEvidence> Routes;
  // The last seconds of the same routes. A fault that shows late would drown in
  // the sums of a long step.
  std::vector<AnswerRing> Rings;
  // Answers of the old version since this driver began, over all routes: what
  // the new one is compared with once the old one gets nothing any more.
  VersionCounts OldOfMove;
  Verdict Held;
  // Incarnation and number of the last report of each entry node.
  std::unordered_map<NodeId, std::pair<Incarnation, std::uint64_t>> Reporters;
  std::uint64_t Duplicates = 0;
  std::uint64_t OverLimit = 0;
};

// Adds a report to the sums and judges every route of it. Reports of another
// move or an earlier step count for the verdict only where they match the move.
// Returns whether the verdict became bad.
bool addReport(MoveEvidence &Evidence, const MoveRecord &Record,
               const EvidenceReport &Report, TimePoint Now);

// Joins a verdict that a node has sent. Returns whether it became bad.
bool addVerdict(MoveEvidence &Evidence, const MoveRecord &Record,
                std::string_view MoveId, const Verdict &Sent);

} // namespace magnolia::policy

#endif
