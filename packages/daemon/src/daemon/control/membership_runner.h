#ifndef DAEMON_CONTROL_MEMBERSHIP_RUNNER_H
#define DAEMON_CONTROL_MEMBERSHIP_RUNNER_H

#include "daemon/control/fwd.h"
#include "policy/core/types.h"
#include "policy/membership/gossip.h"

#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace magnolia::wire {
class ControlBody;
class GossipDatagram;
class PullMembersRequest;
} // namespace magnolia::wire

namespace magnolia::daemon {

// Runs the membership protocol of this node over the gossip socket and the
// Control service. Used by the control thread only.
class MembershipRunner {
public:
  // Called when the configuration digest of another member differs.
  using DifferenceHandler = std::function<void(const policy::Member &Other)>;

  MembershipRunner(policy::Member Self, GossipSocket &Socket,
                   ControlClient &Client, TaskQueue &Queue,
                   policy::RandomEngine &Random);

  void setDifferenceHandler(DifferenceHandler Handler);
  void addContacts(std::span<const policy::Contact> Contacts);
  void announce(const policy::MemberFacts &Facts);
  void leave(policy::TimePoint Now);

  // Sends the messages that are due, with the digest of the configuration
  // table.
  void tick(policy::TimePoint Now, std::uint64_t ConfigDigest);
  void onDatagram(const wire::GossipDatagram &Datagram, policy::TimePoint Now,
                  std::uint64_t ConfigDigest);
  void onPull(const wire::PullMembersRequest &Request,
              wire::ControlBody &Response, policy::TimePoint Now);

  [[nodiscard]] const policy::MembershipState &state() const { return State; }
  [[nodiscard]] const policy::Member &self() const;
  // Members in every state.
  [[nodiscard]] std::span<const policy::Member> members() const;
  // Returns the member, or null for an unknown node.
  [[nodiscard]] const policy::Member *find(policy::NodeId Node) const;
  // Incremented by every change of the member table.
  [[nodiscard]] std::uint64_t generation() const;
  // The live members of all zones that watch the store, in a fixed order.
  [[nodiscard]] const std::vector<policy::Member> &watchers();
  [[nodiscard]] bool isWatcher();

private:
  void send(std::span<const policy::MembershipAction> Actions,
            std::uint64_t ConfigDigest);
  void pull(const policy::Member &From, std::uint64_t Offset);

  policy::MembershipState State;
  GossipSocket &Socket;
  ControlClient &Client;
  TaskQueue &Queue;
  policy::RandomEngine &Random;
  DifferenceHandler OnDifference;
  std::uint64_t LastConfigDigest = 0;
  std::vector<policy::Member> Watchers;
  std::uint64_t WatchersGeneration = 0;
  bool WatchersKnown = false;
};

} // namespace magnolia::daemon

#endif
