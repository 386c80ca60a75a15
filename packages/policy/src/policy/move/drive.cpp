#include "policy/move/drive.h"

#include "policy/move/advance.h"

namespace magnolia::policy {

namespace {

// Records the time since when the next record of this revision is due. A new
// revision restarts the delay of the standbys.
void markDue(DriveState &State, const MoveRecord &Record, TimePoint Now) {
  if (State.DueRevision != Record.Revision) {
    State.DueRevision = Record.Revision;
    State.DueAt = Now;
  }
}

} // namespace

std::optional<MoveRecord> nextWrite(DriveState &State, const MoveRecord &Record,
                                    const Verdict &Held, NodeId Self,
                                    std::span<const Member> Watchers,
                                    TimePoint WallNow,
                                    const MoveOptions &Options) {
  addVerdict(State.Evidence, Record, Record.Id, Held);
  if (State.Writing) {
    return std::nullopt;
  }
  std::optional<MoveRecord> Next =
      advance(Record, State.Evidence, WallNow, Options);
  if (!Next) {
    State.DueRevision = 0;
    return std::nullopt;
  }
  markDue(State, Record, WallNow);
  if (!shouldDrive(Self, Watchers, Record.Id, State.DueAt, WallNow, Options)) {
    return std::nullopt;
  }
  State.Writing = true;
  ++State.Writes;
  return Next;
}

void onWritten(DriveState &State, bool Written) {
  State.Writing = false;
  State.FailedWrites += Written ? 0 : 1;
}

std::vector<Member> collectorsOf(std::span<const Member> Watchers,
                                 std::string_view MoveId) {
  std::vector<Member> Result;
  for (const Member &Candidate : Watchers) {
    const auto Rank = driverRank(Candidate.Node, Watchers, MoveId);
    if (Rank && *Rank < MoveCollectors) {
      Result.push_back(Candidate);
    }
  }
  return Result;
}

} // namespace magnolia::policy
