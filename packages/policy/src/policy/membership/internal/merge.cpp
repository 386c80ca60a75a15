#include "policy/membership/internal/table.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace magnolia::policy::internal {

namespace {

// Members that became suspect this long before their zone counted as lost
// belong to the same event, as suspicions start at different times.
constexpr Duration LossWindow = std::chrono::minutes{1};

// Returns true if Left replaces Right. An incarnation that has left never
// returns: the next one is higher.
bool isNewer(const Member &Left, const Member &Right) {
  if (Left.Run != Right.Run) {
    return Left.Run > Right.Run;
  }
  if (Left.State == MemberState::Left || Right.State == MemberState::Left) {
    return Right.State != MemberState::Left;
  }
  if (Left.RecordVersion != Right.RecordVersion) {
    return Left.RecordVersion > Right.RecordVersion;
  }
  return Left.State > Right.State;
}

bool sameRecordVersion(const Member &Left, const Member &Right) {
  return Left.Run == Right.Run && Left.RecordVersion == Right.RecordVersion;
}

bool isNotResponding(const Member &Record) {
  return Record.State == MemberState::Suspect ||
         Record.State == MemberState::Unreachable;
}

// Handles a record about this node itself, which refutes it if it is wrong.
bool mergeSelf(MembershipState &State, const Member &Record) {
  const std::uint32_t Index = State.Table.Index.at(State.Self);
  Member Own = State.Table.Members[Index];
  if (Record.Run < Own.Run) {
    return false;
  }
  const bool ConsideredLeft =
      Record.State == MemberState::Left && !State.Leaving;
  if (Record.Run > Own.Run || ConsideredLeft) {
    // Either an earlier incarnation had a clock that was ahead, so that its
    // records would supersede those of this one, or the fleet considers this
    // incarnation left, which only a new incarnation can change.
    ++State.Counters.IncarnationRaised;
    Own.Run = Record.Run + 1;
  } else if (State.Leaving || !(Record.RecordVersion > Own.RecordVersion ||
                                (Record.RecordVersion == Own.RecordVersion &&
                                 Record.State > Own.State))) {
    return false;
  } else {
    ++State.Counters.Refuted;
    Own.RecordVersion = std::max(Own.RecordVersion, Record.RecordVersion) + 1;
  }
  replace(State.Table, Index, Own, State.Table.Metadata[Index].Since);
  queueUpdate(State, State.Self);
  return true;
}

void updateSuspicion(MembershipState &State, const Member &Record,
                     TimePoint Now) {
  if (Record.State == MemberState::Suspect) {
    State.Suspicions.try_emplace(Record.Node, Now + suspicionTime(State));
  } else {
    State.Suspicions.erase(Record.Node);
  }
}

bool isZoneLost(const MembershipState &State, std::uint32_t Index) {
  const std::uint32_t Zone = State.Table.Metadata[Index].Zone;
  return State.Table.Zones[Zone].LostAt.has_value();
}

// Failures in a lost zone are not gossiped, as this would send updates about
// the whole zone.
void queueChange(MembershipState &State, std::uint32_t Index) {
  const Member &Record = State.Table.Members[Index];
  if (isNotResponding(Record) && isZoneLost(State, Index)) {
    dropUpdate(State, Record.Node);
  } else {
    queueUpdate(State, Record.Node);
  }
}

bool mergeUnknown(MembershipState &State, const Member &Record, Source From,
                  TimePoint Now) {
  // Records of members that are not live are not added: they would otherwise
  // propagate from node to node beyond the retention period.
  if (!isLive(Record)) {
    return false;
  }
  if (State.Table.Members.size() >= State.Options.MaxMembers) {
    ++State.Counters.TableFull;
    return false;
  }
  insert(State.Table, Record, Now);
  updateSuspicion(State, Record, Now);
  if (From != Source::Sync) {
    queueUpdate(State, Record.Node);
  }
  return true;
}

void restoreZone(MembershipState &State, std::uint32_t Zone, TimePoint Now) {
  MemberTable &Table = State.Table;
  const TimePoint From = *Table.Zones[Zone].LostAt - LossWindow;
  Table.Zones[Zone].LostAt.reset();
  Table.Zones[Zone].RespondedSinceLoss.clear();
  ++State.Counters.ZonesRestored;
  for (std::uint32_t I = 0; I < Table.Members.size(); ++I) {
    if (Table.Metadata[I].Zone == Zone && isNotResponding(Table.Members[I]) &&
        Table.Metadata[I].Since >= From) {
      Member Record = Table.Members[I];
      Record.State = MemberState::Alive;
      State.Suspicions.erase(Record.Node);
      dropUpdate(State, Record.Node);
      replace(Table, I, Record, Now);
    }
  }
}

void markZoneLost(MembershipState &State, std::uint32_t Zone, TimePoint Now) {
  MemberTable &Table = State.Table;
  Table.Zones[Zone].LostAt = Now;
  Table.Zones[Zone].RespondedSinceLoss.clear();
  for (std::size_t I = 0; I < Table.Members.size(); ++I) {
    if (Table.Metadata[I].Zone == Zone && isNotResponding(Table.Members[I])) {
      dropUpdate(State, Table.Members[I].Node);
    }
  }
}

} // namespace

Duration suspicionTime(const MembershipState &State) {
  const double Scale =
      std::max(1.0, std::log10(static_cast<double>(State.Table.Live) + 1.0));
  return std::chrono::duration_cast<Duration>(
      State.Options.ProbePeriod * (State.Options.SuspicionFactor * Scale));
}

bool merge(MembershipState &State, const Member &Record, Source From,
           TimePoint Now) {
  if (Record.Node == 0) {
    return false;
  }
  if (Record.Node == State.Self) {
    return mergeSelf(State, Record);
  }
  const auto Index = indexOf(State.Table, Record.Node);
  if (!Index) {
    return mergeUnknown(State, Record, From, Now);
  }
  const Member &Held = State.Table.Members[*Index];
  if (!isNewer(Record, Held)) {
    State.Counters.StaleRecords += isNewer(Held, Record) ? 1 : 0;
    return false;
  }
  // The view of another node in an exchange is not treated as an update,
  // because it would carry the effects of a partition to the other side.
  if (From == Source::Sync && sameRecordVersion(Record, Held) &&
      isNotResponding(Record)) {
    return false;
  }
  Member Taken = Record;
  if (Record.State == MemberState::Unreachable && isLive(Held) &&
      Held.State != MemberState::Suspect) {
    // An indirect report only starts a suspicion, so that the member can refute
    // it.
    Taken.State = MemberState::Suspect;
  }
  const bool Returned = isNotResponding(Held) && Held.Run == Record.Run &&
                        !isNotResponding(Record);
  if (Returned && Record.State == MemberState::Alive) {
    markResponding(State, Record.Node, Now);
  }
  const std::uint32_t OldZone = State.Table.Metadata[*Index].Zone;
  replace(State.Table, *Index, Taken, Now);
  updateSuspicion(State, Taken, Now);
  checkZone(State, OldZone, Now);
  checkZone(State, State.Table.Metadata[*Index].Zone, Now);
  if (From != Source::Sync) {
    queueChange(State, *Index);
  }
  return true;
}

void setState(MembershipState &State, std::uint32_t Index, MemberState To,
              TimePoint Now) {
  Member Record = State.Table.Members[Index];
  Record.State = To;
  replace(State.Table, Index, Record, Now);
  updateSuspicion(State, Record, Now);
  checkZone(State, State.Table.Metadata[Index].Zone, Now);
  queueChange(State, Index);
}

void markResponding(MembershipState &State, NodeId Node, TimePoint Now) {
  const auto Index = indexOf(State.Table, Node);
  if (!Index || !isNotResponding(State.Table.Members[*Index])) {
    return;
  }
  const std::uint32_t Zone = State.Table.Metadata[*Index].Zone;
  MemberTable::ZoneCounts &Counts = State.Table.Zones[Zone];
  if (!Counts.LostAt || std::find(Counts.RespondedSinceLoss.begin(),
                                  Counts.RespondedSinceLoss.end(),
                                  Node) != Counts.RespondedSinceLoss.end()) {
    return;
  }
  Counts.RespondedSinceLoss.push_back(Node);
  if (Counts.RespondedSinceLoss.size() >= State.Options.ReturnedMembers) {
    restoreZone(State, Zone, Now);
  }
}

void checkZone(MembershipState &State, std::uint32_t Zone, TimePoint Now) {
  MemberTable::ZoneCounts &Counts = State.Table.Zones[Zone];
  const double Threshold = State.Options.LostZoneShare * Counts.Members;
  if (!Counts.LostAt) {
    if (Counts.NotResponding >= State.Options.MinLostMembers &&
        Counts.NotResponding >= Threshold) {
      markZoneLost(State, Zone, Now);
    }
  } else if (Counts.NotResponding < Threshold / 2) {
    // The members became alive again one by one.
    Counts.LostAt.reset();
    Counts.RespondedSinceLoss.clear();
  }
}

void raiseRecordVersion(MembershipState &State) {
  const std::uint32_t Index = State.Table.Index.at(State.Self);
  Member Own = State.Table.Members[Index];
  ++Own.RecordVersion;
  replace(State.Table, Index, Own, State.Table.Metadata[Index].Since);
  queueUpdate(State, State.Self);
}

} // namespace magnolia::policy::internal
