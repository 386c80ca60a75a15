#include "policy/rollout/lost_record.h"

#include "policy/core/epoch.h"
#include "policy/rollout/rollout_request.h"

#include <tuple>

namespace magnolia::policy {

namespace {

// Position in the course of one rollout. All ends are equal: the store decides
// between them.
auto progressOf(const RolloutRecord &Record) {
  const bool Ended = hasEnded(Record);
  const bool Started = Record.Phase != RolloutPhase::Planned;
  return std::tuple(Ended, Ended || Started, Ended ? 0U : Record.Step);
}

bool isLater(const RolloutRecord &Left, const RolloutRecord &Right) {
  if (Left.Id == Right.Id) {
    return progressOf(Left) > progressOf(Right);
  }
  const auto LeftRequest = requestRevisionOf(Left.Id);
  const auto RightRequest = requestRevisionOf(Right.Id);
  return LeftRequest && RightRequest ? *LeftRequest > *RightRequest
                                     : Left.Start > Right.Start;
}

} // namespace

RolloutRecord recordInEffect(const RolloutRecord *Held,
                             const RolloutRecord &Read) {
  const bool SameEpoch =
      Held != nullptr && epochOf(Held->Revision) == epochOf(Read.Revision);
  if (Held == nullptr || (SameEpoch && Held->Stored) || !isLater(*Held, Read)) {
    return Read;
  }
  RolloutRecord Kept = *Held;
  Kept.Revision = Read.Revision;
  Kept.Stored = false;
  return Kept;
}

bool isLost(const RolloutRecord &Record, std::uint64_t StoreEpoch) {
  return !Record.Stored || epochOf(Record.Revision) < StoreEpoch;
}

std::uint64_t expectedRevision(const RolloutRecord &Record,
                               std::uint64_t StoreEpoch) {
  return epochOf(Record.Revision) < StoreEpoch ? 0 : Record.Revision;
}

} // namespace magnolia::policy
