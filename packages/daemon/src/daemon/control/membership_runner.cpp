#include "daemon/control/membership_runner.h"

#include "daemon/control/clock.h"
#include "daemon/control/control_client.h"
#include "daemon/control/gossip_codec.h"
#include "daemon/control/gossip_socket.h"
#include "daemon/control/task_queue.h"
#include "policy/config/push_targets.h"
#include "policy/membership/gossip.h"
#include "policy/membership/sync.h"

#include <optional>
#include <utility>
#include <wire/control.pb.h>

namespace magnolia::daemon {

MembershipRunner::MembershipRunner(policy::Member Self, GossipSocket &Socket,
                                   ControlClient &Client, TaskQueue &Queue,
                                   policy::RandomEngine &Random)
    : State(policy::makeMembership(std::move(Self), steadyNow())),
      Socket(Socket), Client(Client), Queue(Queue), Random(Random) {}

void MembershipRunner::setDifferenceHandler(DifferenceHandler Handler) {
  OnDifference = std::move(Handler);
}

void MembershipRunner::addContacts(std::span<const policy::Contact> Contacts) {
  policy::addContacts(State, Contacts);
}

void MembershipRunner::announce(const policy::MemberFacts &Facts) {
  policy::announce(State, Facts);
}

void MembershipRunner::leave(policy::TimePoint Now) {
  send(policy::leave(State, Now, Random), LastConfigDigest);
}

void MembershipRunner::tick(policy::TimePoint Now, std::uint64_t ConfigDigest) {
  LastConfigDigest = ConfigDigest;
  send(policy::tick(State, Now, Random), ConfigDigest);
  if (const auto From = policy::nextSync(State, Now, Random)) {
    pull(*From, 0);
  }
}

void MembershipRunner::onDatagram(const wire::GossipDatagram &Datagram,
                                  policy::TimePoint Now,
                                  std::uint64_t ConfigDigest) {
  const std::optional<policy::MembershipMessage> Message = toMessage(Datagram);
  if (!Message) {
    return;
  }
  send(policy::onMessage(State, *Message, Now, Random), ConfigDigest);
  if (Message->ConfigDigest != ConfigDigest && OnDifference) {
    OnDifference(Message->From);
  }
}

void MembershipRunner::onPull(const wire::PullMembersRequest &Request,
                              wire::ControlBody &Response,
                              policy::TimePoint Now) {
  if (const auto From = toMember(Request.from())) {
    policy::mergeMembers(State, std::span(&*From, 1), Now);
  }
  const std::span<const policy::Member> Page =
      policy::memberPage(State, Request.offset());
  wire::PullMembersAnswer &Pulled = *Response.mutable_pull_members_answer();
  for (const policy::Member &Record : Page) {
    *Pulled.add_members() = toRecord(Record);
  }
  Pulled.set_more(Page.size() == policy::MemberPageSize);
}

const policy::Member &MembershipRunner::self() const {
  return policy::self(State);
}

std::span<const policy::Member> MembershipRunner::members() const {
  return policy::members(State);
}

const policy::Member *MembershipRunner::find(policy::NodeId Node) const {
  return policy::findMember(State, Node);
}

std::uint64_t MembershipRunner::generation() const {
  return State.Table.Generation;
}

const std::vector<policy::Member> &MembershipRunner::watchers() {
  if (WatchersKnown && WatchersGeneration == generation()) {
    return Watchers;
  }
  Watchers = policy::watchersOf(members());
  WatchersGeneration = generation();
  WatchersKnown = true;
  return Watchers;
}

bool MembershipRunner::isWatcher() {
  for (const policy::Member &Record : watchers()) {
    if (Record.Node == State.Self) {
      return true;
    }
  }
  return false;
}

void MembershipRunner::send(std::span<const policy::MembershipAction> Actions,
                            std::uint64_t ConfigDigest) {
  for (const policy::MembershipAction &Action : Actions) {
    wire::GossipDatagram Datagram = toDatagram(Action.Message);
    Datagram.set_config_digest(ConfigDigest);
    Socket.send(Action.Address, Action.GossipPort, Datagram);
  }
}

void MembershipRunner::pull(const policy::Member &From, std::uint64_t Offset) {
  wire::ControlBody Body;
  wire::PullMembersRequest &Request = *Body.mutable_pull_members();
  *Request.mutable_from() = toRecord(self());
  Request.set_offset(Offset);
  Client.call(
      {.Address = From.Address, .Port = From.ControlPort}, std::move(Body),
      [this, From, Offset](std::optional<wire::ControlBody> Response) {
        if (!Response || !Response->has_pull_members_answer()) {
          return;
        }
        Queue.post([this, From, Offset, Response = *std::move(Response)] {
          const wire::PullMembersAnswer &Pulled =
              Response.pull_members_answer();
          std::vector<policy::Member> Page;
          for (const wire::MemberRecord &Record : Pulled.members()) {
            if (std::optional<policy::Member> Valid = toMember(Record)) {
              Page.push_back(*std::move(Valid));
            }
          }
          policy::mergeMembers(State, Page, steadyNow());
          if (Pulled.more()) {
            pull(From, Offset + policy::MemberPageSize);
          }
        });
      });
}

} // namespace magnolia::daemon
