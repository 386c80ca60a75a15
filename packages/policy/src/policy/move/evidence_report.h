#ifndef POLICY_MOVE_EVIDENCE_REPORT_H
#define POLICY_MOVE_EVIDENCE_REPORT_H

#include "policy/core/types.h"
#include "policy/move/route_evidence.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::policy {

// Answers that one entry node has seen since its previous report.
struct EvidenceReport {
  NodeId Node = 0;
  Incarnation Run = 0;
  std::string MoveId;
  // Number of the report; a repeated or overtaken one is ignored.
  std::uint64_t Window = 0;
  // Step of the record when the answers were seen.
  std::uint32_t Step = 0;
  std::vector<RouteEvidence> Routes;
};

} // namespace magnolia::policy

#endif
