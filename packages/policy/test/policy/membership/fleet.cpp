#include "policy/membership/fleet.h"

#include <random>
#include <utility>

namespace magnolia::policy::test {

namespace {

// Number of datagrams that the socket buffer holds for a paused process.
constexpr std::size_t InboxSize = 64;

bool connected(const Fleet &Run, std::size_t From, std::size_t To) {
  const std::size_t Left = Run.Nodes[From].Zone;
  const std::size_t Right = Run.Nodes[To].Zone;
  return Left == Right || (!Run.Cut[Left] && !Run.Cut[Right]);
}

double chance(Fleet &Run) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(Run.Random);
}

void deliver(Fleet &Run, const Fleet::Datagram &Item) {
  FleetNode &Target = Run.Nodes[Item.To];
  if (!Target.Up || !connected(Run, Item.From, Item.To)) {
    return;
  }
  if (Target.Paused) {
    if (Target.Inbox.size() < InboxSize) {
      Target.Inbox.push_back(Item.Message);
    }
    return;
  }
  sendAll(Run, Item.To,
          onMessage(Target.State, Item.Message, Run.Now, Run.Random));
}

void synchronize(Fleet &Run, std::size_t Index) {
  const auto Partner = nextSync(Run.Nodes[Index].State, Run.Now, Run.Random);
  if (!Partner) {
    return;
  }
  const std::size_t From =
      Run.ByAddress.at({Partner->Address, Partner->GossipPort});
  const FleetNode &Other = Run.Nodes[From];
  if (Other.Up && !Other.Paused && connected(Run, Index, From)) {
    mergeMembers(Run.Nodes[Index].State, memberPage(Other.State, 0), Run.Now);
  }
}

} // namespace

Member fleetMember(const Fleet &Run, std::size_t Index, Incarnation Start) {
  const std::size_t Zone = Index / Run.Options.NodesPerZone;
  Member Record;
  Record.Address = "10.0.";
  Record.Address += std::to_string(Index / 200) + '.';
  Record.Address += std::to_string(Index % 200);
  Record.PeerPort = 7001;
  Record.GossipPort = 7003;
  Record.Region = "region-" + std::to_string(Zone / 3);
  Record.Zone = "zone-" + std::to_string(Zone);
  Record.Service = "stock";
  Record.Version = "v1";
  Record.Node = nodeIdOf(Record.Address, Record.PeerPort);
  Record.Run = Start;
  return Record;
}

Fleet makeFleet(const FleetOptions &Options) {
  Fleet Run;
  Run.Options = Options;
  Run.Random.seed(Options.Seed);
  Run.Cut.assign(Options.Zones, false);
  std::vector<Contact> Contacts;
  for (std::size_t Zone = 0; Zone < Options.Zones; ++Zone) {
    const Member First = fleetMember(Run, Zone * Options.NodesPerZone, 0);
    Contacts.push_back({First.Address, First.GossipPort});
  }
  for (std::size_t I = 0; I < Options.Zones * Options.NodesPerZone; ++I) {
    FleetNode Node;
    const Member Record = fleetMember(Run, I, 1'000);
    Node.State = makeMembership(Record, Run.Now, Options.Membership);
    Node.Zone = I / Options.NodesPerZone;
    addContacts(Node.State, Contacts);
    Run.ByAddress[{Record.Address, Record.GossipPort}] = I;
    Run.Nodes.push_back(std::move(Node));
  }
  return Run;
}

void sendAll(Fleet &Run, std::size_t From,
             const std::vector<MembershipAction> &Actions) {
  for (const MembershipAction &Action : Actions) {
    const auto To = Run.ByAddress.find({Action.Address, Action.GossipPort});
    const int Copies = chance(Run) < Run.Options.Duplication ? 2 : 1;
    for (int I = 0; I < Copies && To != Run.ByAddress.end(); ++I) {
      if (chance(Run) < Run.Options.Loss) {
        continue;
      }
      const Duration Delay{std::uniform_int_distribution<Duration::rep>(
          Run.Options.MinDelay.count(),
          Run.Options.MaxDelay.count())(Run.Random)};
      Run.InFlight.emplace(Run.Now + Delay,
                           Fleet::Datagram{.From = From,
                                           .To = To->second,
                                           .Message = Action.Message});
    }
  }
}

void run(Fleet &Run, Duration Time) {
  const TimePoint End = Run.Now + Time;
  while (Run.Now < End) {
    const TimePoint Next = Run.Now + Run.Options.Tick;
    while (!Run.InFlight.empty() && Run.InFlight.begin()->first <= Next) {
      auto Item = Run.InFlight.extract(Run.InFlight.begin());
      Run.Now = Item.key();
      deliver(Run, Item.mapped());
    }
    Run.Now = Next;
    for (std::size_t I = 0; I < Run.Nodes.size(); ++I) {
      if (Run.Nodes[I].Up && !Run.Nodes[I].Paused) {
        sendAll(Run, I, tick(Run.Nodes[I].State, Run.Now, Run.Random));
        synchronize(Run, I);
      }
    }
    if (Run.Check) {
      Run.Check(Run);
    }
  }
}

void crash(Fleet &Run, std::size_t Index) {
  Run.Nodes[Index].Up = false;
  Run.Nodes[Index].Paused = false;
  Run.Nodes[Index].Inbox.clear();
}

void restart(Fleet &Run, std::size_t Index, const std::string &Version) {
  crash(Run, Index);
  FleetNode &Node = Run.Nodes[Index];
  Member Record = fleetMember(
      Run, Index, static_cast<Incarnation>(Run.Now.time_since_epoch().count()));
  Record.Version = Version;
  const std::vector<Contact> Contacts = Node.State.Contacts;
  Node.State = makeMembership(Record, Run.Now, Run.Options.Membership);
  addContacts(Node.State, Contacts);
  Node.Up = true;
}

void pause(Fleet &Run, std::size_t Index) { Run.Nodes[Index].Paused = true; }

void resume(Fleet &Run, std::size_t Index) {
  FleetNode &Node = Run.Nodes[Index];
  Node.Paused = false;
  for (const MembershipMessage &Message : std::exchange(Node.Inbox, {})) {
    sendAll(Run, Index, onMessage(Node.State, Message, Run.Now, Run.Random));
  }
}

std::size_t wrongViews(const Fleet &Run) {
  std::size_t Wrong = 0;
  for (const FleetNode &Observer : Run.Nodes) {
    for (const FleetNode &Node : Run.Nodes) {
      if (!Observer.Up || &Observer == &Node) {
        continue;
      }
      const Member &Actual = self(Node.State);
      const Member *Held = findMember(Observer.State, Actual.Node);
      const bool HeldLive = Held != nullptr && isLive(*Held);
      const bool Runs = Node.Up && Actual.State != MemberState::Left;
      const bool Right = Runs ? Held != nullptr && *Held == Actual : !HeldLive;
      Wrong += Right ? 0 : 1;
    }
  }
  return Wrong;
}

} // namespace magnolia::policy::test
