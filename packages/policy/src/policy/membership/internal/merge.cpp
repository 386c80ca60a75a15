#include "policy/membership/internal/table.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace magnolia::policy::internal {

namespace {

// Members that were lost this long before their zone counted as lost belong
// to the same event: suspicions start at different times.
constexpr Duration LossWindow = std::chrono::minutes{1};

// True where Left replaces Right. A run that has left never comes back: the
// next one has a higher incarnation.
bool isNewer(const Member &Left, const Member &Right) {
  if (Left.Run != Right.Run) {
    return Left.Run > Right.Run;
  }
  if (Left.State == MemberState::Left || Right.State == MemberState::Left) {
    return Right.State != MemberState::Left;
  }
  if (Left.Beat != Right.Beat) {
    return Left.Beat > Right.Beat;
  }
  return Left.State > Right.State;
}

bool sameBeat(const Member &Left, const Member &Right) {
  return Left.Run == Right.Run && Left.Beat == Right.Beat;
}

bool isBad(const Member &Record) {
  return Record.State == MemberState::Suspect ||
         Record.State == MemberState::Unreachable;
}

// A record about this node itself: it objects to what is wrong.
bool mergeSelf(MembershipState &State, const Member &Record) {
  const std::uint32_t Index = State.Table.Index.at(State.Self);
  Member Own = State.Table.Members[Index];
  if (Record.Run < Own.Run) {
    return false;
  }
  const bool HeldAsLeft = Record.State == MemberState::Left && !State.Leaving;
  if (Record.Run > Own.Run || HeldAsLeft) {
    // An earlier run had a clock that was ahead, so its records would hide
    // ours; or this run is held to have left, which only a new run ends.
    ++State.Counters.IncarnationRaised;
    Own.Run = Record.Run + 1;
  } else if (State.Leaving ||
             !(Record.Beat > Own.Beat ||
               (Record.Beat == Own.Beat && Record.State > Own.State))) {
    return false;
  } else {
    ++State.Counters.Refuted;
    Own.Beat = std::max(Own.Beat, Record.Beat) + 1;
  }
  replace(State.Table, Index, Own, State.Table.Notes[Index].Since);
  queueUpdate(State, State.Self);
  return true;
}

void followSuspicion(MembershipState &State, const Member &Record,
                     TimePoint Now) {
  if (Record.State == MemberState::Suspect) {
    State.Suspicions.try_emplace(Record.Node, Now + suspicionTime(State));
  } else {
    State.Suspicions.erase(Record.Node);
  }
}

bool zoneIsLost(const MembershipState &State, std::uint32_t Index) {
  const std::uint32_t Zone = State.Table.Notes[Index].Zone;
  return State.Table.Zones[Zone].LostAt.has_value();
}

// Failures inside a lost zone aren't gossiped: the whole zone would be.
void queueChange(MembershipState &State, std::uint32_t Index) {
  const Member &Record = State.Table.Members[Index];
  if (isBad(Record) && zoneIsLost(State, Index)) {
    dropUpdate(State, Record.Node);
  } else {
    queueUpdate(State, Record.Node);
  }
}

bool mergeUnknown(MembershipState &State, const Member &Record, Source From,
                  TimePoint Now) {
  // A record of a dead member would otherwise pass from node to node beyond
  // its retention time.
  if (!isLive(Record)) {
    return false;
  }
  if (State.Table.Members.size() >= State.Options.MaxMembers) {
    ++State.Counters.TableFull;
    return false;
  }
  insert(State.Table, Record, Now);
  followSuspicion(State, Record, Now);
  if (From != Source::Sync) {
    queueUpdate(State, Record.Node);
  }
  return true;
}

void restoreZone(MembershipState &State, std::uint32_t Zone, TimePoint Now) {
  MemberTable &Table = State.Table;
  const TimePoint From = *Table.Zones[Zone].LostAt - LossWindow;
  Table.Zones[Zone].LostAt.reset();
  Table.Zones[Zone].Heard.clear();
  ++State.Counters.ZonesRestored;
  for (std::uint32_t I = 0; I < Table.Members.size(); ++I) {
    if (Table.Notes[I].Zone == Zone && isBad(Table.Members[I]) &&
        Table.Notes[I].Since >= From) {
      Member Record = Table.Members[I];
      Record.State = MemberState::Alive;
      State.Suspicions.erase(Record.Node);
      dropUpdate(State, Record.Node);
      replace(Table, I, Record, Now);
    }
  }
}

void loseZone(MembershipState &State, std::uint32_t Zone, TimePoint Now) {
  MemberTable &Table = State.Table;
  Table.Zones[Zone].LostAt = Now;
  Table.Zones[Zone].Heard.clear();
  for (std::size_t I = 0; I < Table.Members.size(); ++I) {
    if (Table.Notes[I].Zone == Zone && isBad(Table.Members[I])) {
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
  // The view of another node in an exchange is no news: taking it over would
  // carry the effects of a partition to the other side of it.
  if (From == Source::Sync && sameBeat(Record, Held) && isBad(Record)) {
    return false;
  }
  Member Taken = Record;
  if (Record.State == MemberState::Unreachable && isLive(Held) &&
      Held.State != MemberState::Suspect) {
    // Hearsay alone only starts a suspicion, so the member may object.
    Taken.State = MemberState::Suspect;
  }
  const bool Returned = isBad(Held) && Held.Run == Record.Run && !isBad(Record);
  if (Returned && Record.State == MemberState::Alive) {
    noteHeard(State, Record.Node, Now);
  }
  const std::uint32_t OldZone = State.Table.Notes[*Index].Zone;
  replace(State.Table, *Index, Taken, Now);
  followSuspicion(State, Taken, Now);
  checkZone(State, OldZone, Now);
  checkZone(State, State.Table.Notes[*Index].Zone, Now);
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
  followSuspicion(State, Record, Now);
  checkZone(State, State.Table.Notes[Index].Zone, Now);
  queueChange(State, Index);
}

void noteHeard(MembershipState &State, NodeId Node, TimePoint Now) {
  const auto Index = indexOf(State.Table, Node);
  if (!Index || !isBad(State.Table.Members[*Index])) {
    return;
  }
  const std::uint32_t Zone = State.Table.Notes[*Index].Zone;
  MemberTable::ZoneTally &Tally = State.Table.Zones[Zone];
  if (!Tally.LostAt || std::find(Tally.Heard.begin(), Tally.Heard.end(),
                                 Node) != Tally.Heard.end()) {
    return;
  }
  Tally.Heard.push_back(Node);
  if (Tally.Heard.size() >= State.Options.ReturnedMembers) {
    restoreZone(State, Zone, Now);
  }
}

void checkZone(MembershipState &State, std::uint32_t Zone, TimePoint Now) {
  MemberTable::ZoneTally &Tally = State.Table.Zones[Zone];
  const double Threshold = State.Options.LostZoneShare * Tally.Members;
  if (!Tally.LostAt) {
    if (Tally.Bad >= State.Options.MinLostMembers && Tally.Bad >= Threshold) {
      loseZone(State, Zone, Now);
    }
  } else if (Tally.Bad < Threshold / 2) {
    // Its members returned one by one.
    Tally.LostAt.reset();
    Tally.Heard.clear();
  }
}

void raiseBeat(MembershipState &State) {
  const std::uint32_t Index = State.Table.Index.at(State.Self);
  Member Own = State.Table.Members[Index];
  ++Own.Beat;
  replace(State.Table, Index, Own, State.Table.Notes[Index].Since);
  queueUpdate(State, State.Self);
}

} // namespace magnolia::policy::internal
