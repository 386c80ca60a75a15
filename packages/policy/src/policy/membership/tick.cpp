#include "policy/membership/gossip.h"
#include "policy/membership/internal/datagram.h"
#include "policy/membership/internal/select.h"
#include "policy/membership/internal/table.h"

#include <algorithm>
#include <random>

namespace magnolia::policy {

using internal::compose;
using internal::indexOf;

namespace {

// Members per tick that are checked for the end of their retention period.
constexpr std::size_t ExpiryChecksPerTick = 16;

// Returns true if the timer is due and sets its next time. A late call does not
// catch up on missed periods.
bool isDue(TimePoint &Next, Duration Period, TimePoint Now) {
  if (Now < Next) {
    return false;
  }
  Next += Period;
  if (Next <= Now) {
    Next = Now + Period;
  }
  return true;
}

void startTimers(MembershipState &State, TimePoint Now, RandomEngine &Random) {
  const MembershipOptions &Options = State.Options;
  const auto Within = [&Random, Now](Duration Period) {
    return Now + Duration{std::uniform_int_distribution<Duration::rep>(
                     0, Period.count())(Random)};
  };
  State.NextProbe = Within(Options.ProbePeriod);
  State.NextGossip = Within(Options.GossipPeriod);
  State.NextUnreachable = Within(Options.UnreachablePeriod);
}

// After a pause of this process the responses to its pings and the refutations
// of suspects are still unread, so their absence must not count as a failure.
void compensateForPause(MembershipState &State, TimePoint Now) {
  const Duration Gap = Now - *State.LastTick;
  if (Gap < State.Options.PauseGap) {
    return;
  }
  ++State.Counters.Pauses;
  State.CurrentProbe.reset();
  // The deadline is capped, so that suspicions received after the pause but
  // before this tick are not extended.
  const TimePoint Latest = Now + internal::suspicionTime(State);
  for (auto &[Node, Deadline] : State.Suspicions) {
    Deadline = std::min(Deadline + Gap, Latest);
  }
}

void removeExpired(MembershipState &State, TimePoint Now) {
  MemberTable &Table = State.Table;
  for (std::size_t I = 0; I < ExpiryChecksPerTick; ++I) {
    if (State.NextExpiryCheck >= Table.Members.size()) {
      State.NextExpiryCheck = 0;
      return;
    }
    const auto Index = static_cast<std::uint32_t>(State.NextExpiryCheck++);
    const Member &Record = Table.Members[Index];
    if (Record.Node != State.Self && !isLive(Record) &&
        Now - Table.Metadata[Index].Since >= State.Options.Retention) {
      internal::dropUpdate(State, Record.Node);
      internal::erase(Table, Index);
      ++State.Counters.Removed;
    }
  }
}

void expireSuspicions(MembershipState &State, TimePoint Now) {
  std::vector<NodeId> Expired;
  for (const auto &[Node, Deadline] : State.Suspicions) {
    if (Now >= Deadline) {
      Expired.push_back(Node);
    }
  }
  for (const NodeId Node : Expired) {
    State.Suspicions.erase(Node);
    const auto Index = indexOf(State.Table, Node);
    if (Index && State.Table.Members[*Index].State == MemberState::Suspect) {
      ++State.Counters.DeclaredUnreachable;
      internal::setState(State, *Index, MemberState::Unreachable, Now);
    }
  }
}

void endProbe(MembershipState &State, TimePoint Now) {
  if (!State.CurrentProbe) {
    return;
  }
  const auto Index = indexOf(State.Table, State.CurrentProbe->Target);
  State.CurrentProbe.reset();
  if (Index && State.Table.Members[*Index].State == MemberState::Alive) {
    ++State.Counters.Suspected;
    internal::setState(State, *Index, MemberState::Suspect, Now);
  }
}

void probe(MembershipState &State, TimePoint Now, RandomEngine &Random,
           std::vector<MembershipAction> &Actions) {
  const MembershipOptions &Options = State.Options;
  auto &Current = State.CurrentProbe;
  if (Current && !Current->IndirectSent &&
      Now - Current->SentAt >= Options.ProbeTimeout) {
    Current->IndirectSent = true;
    for (const NodeId Helper : internal::randomLive(
             State, Options.IndirectProbes, Current->Target, Random)) {
      Actions.push_back(compose(State, MessageType::PingRequest,
                                *findMember(State, Helper), Current->Sequence,
                                Current->Target, Now));
    }
  }
  if (!isDue(State.NextProbe, Options.ProbePeriod, Now)) {
    return;
  }
  endProbe(State, Now);
  if (const auto Target = internal::nextInRound(State, Random)) {
    const std::uint64_t Sequence = State.NextSequence++;
    Current = MembershipState::Probe{
        .Target = *Target, .Sequence = Sequence, .SentAt = Now};
    Actions.push_back(compose(State, MessageType::Ping,
                              *findMember(State, *Target), Sequence, *Target,
                              Now));
  }
}

void gossip(MembershipState &State, TimePoint Now, RandomEngine &Random,
            std::vector<MembershipAction> &Actions) {
  if (!isDue(State.NextGossip, State.Options.GossipPeriod, Now)) {
    return;
  }
  expireSuspicions(State, Now);
  if (State.Updates.Order.empty()) {
    return;
  }
  for (const NodeId Node : internal::randomLive(
           State, State.Options.GossipFanout, State.Self, Random)) {
    MembershipAction Action = compose(State, MessageType::Ping,
                                      *findMember(State, Node), 0, Node, Now);
    Actions.push_back(std::move(Action));
  }
}

void probeUnreachable(MembershipState &State, TimePoint Now,
                      RandomEngine &Random,
                      std::vector<MembershipAction> &Actions) {
  if (!isDue(State.NextUnreachable, State.Options.UnreachablePeriod, Now)) {
    return;
  }
  if (const auto Node = internal::randomUnreachable(State, Random)) {
    Actions.push_back(compose(State, MessageType::Ping,
                              *findMember(State, *Node), State.NextSequence++,
                              *Node, Now));
  }
}

void pingContact(MembershipState &State, TimePoint Now, RandomEngine &Random,
                 std::vector<MembershipAction> &Actions) {
  const bool Alone = State.Table.Live <= 1;
  const Duration Period =
      Alone ? State.Options.JoinPeriod : State.Options.ContactPeriod;
  if (State.Contacts.empty() || State.Leaving ||
      !isDue(State.NextContact, Period, Now)) {
    return;
  }
  const std::size_t Slot = std::uniform_int_distribution<std::size_t>(
      0, State.Contacts.size() - 1)(Random);
  Member Unknown;
  Unknown.Address = State.Contacts[Slot].Address;
  Unknown.GossipPort = State.Contacts[Slot].GossipPort;
  Actions.push_back(
      compose(State, MessageType::Ping, Unknown, State.NextSequence++, 0, Now));
}

} // namespace

std::vector<MembershipAction> tick(MembershipState &State, TimePoint Now,
                                   RandomEngine &Random) {
  std::vector<MembershipAction> Actions;
  if (!State.LastTick) {
    startTimers(State, Now, Random);
  } else {
    compensateForPause(State, Now);
  }
  State.LastTick = Now;
  removeExpired(State, Now);
  probe(State, Now, Random, Actions);
  gossip(State, Now, Random, Actions);
  probeUnreachable(State, Now, Random, Actions);
  pingContact(State, Now, Random, Actions);
  return Actions;
}

} // namespace magnolia::policy
