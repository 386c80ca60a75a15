#include "policy/rollout/drive.h"

#include "policy/rollout/advance.h"

#include <chrono>

namespace magnolia::policy {

namespace {

// Pause between two writes of a record that the store lost. Without it, a store
// that is away again would be called in every tick.
constexpr Duration RewritePause = std::chrono::milliseconds(500);

// Records the time since when the next record of this revision is due. A new
// revision restarts the delay of the standbys.
void markDue(DriveState &State, const RolloutRecord &Record, TimePoint Now) {
  if (State.DueRevision != Record.Revision) {
    State.DueRevision = Record.Revision;
    State.DueAt = Now;
  }
}

} // namespace

std::optional<RolloutRecord>
nextWrite(DriveState &State, const RolloutRecord &Record,
          const Verdict &Current, NodeId Self, std::span<const Member> Watchers,
          TimePoint WallNow, const RolloutOptions &Options) {
  addVerdict(State.Stats, Record, Record.Id, Current);
  if (State.Writing) {
    return std::nullopt;
  }
  std::optional<RolloutRecord> Next =
      advance(Record, State.Stats, WallNow, Options);
  if (!Next && !Record.Stored && WallNow >= State.NextRewrite) {
    Next = Record;
  }
  if (!Next) {
    State.DueRevision = 0;
    return std::nullopt;
  }
  markDue(State, Record, WallNow);
  if (!shouldDrive(Self, Watchers, Record.Id, State.DueAt, WallNow, Options)) {
    return std::nullopt;
  }
  State.Writing = true;
  State.NextRewrite = WallNow + RewritePause;
  ++State.Writes;
  return Next;
}

void onWritten(DriveState &State, bool Written) {
  State.Writing = false;
  State.FailedWrites += Written ? 0 : 1;
}

std::vector<Member> collectorsOf(std::span<const Member> Watchers,
                                 std::string_view RolloutId) {
  std::vector<Member> Result;
  for (const Member &Candidate : Watchers) {
    const auto Rank = driverRank(Candidate.Node, Watchers, RolloutId);
    if (Rank && *Rank < RolloutCollectors) {
      Result.push_back(Candidate);
    }
  }
  return Result;
}

} // namespace magnolia::policy
