#ifndef POLICY_MEMBERSHIP_MEMBER_H
#define POLICY_MEMBERSHIP_MEMBER_H

#include "policy/core/types.h"
#include "policy/membership/member_state.h"

#include <cstdint>
#include <string>

namespace magnolia::policy {

// One member of the fleet. A member without a service has no local backend
// server and is only an entry node.
struct Member {
  NodeId Node = 0;
  std::string Address;
  std::uint16_t PeerPort = 0;
  std::uint16_t ControlPort = 0;
  std::uint16_t GossipPort = 0;
  std::uint16_t HttpPort = 0;
  std::string Region;
  std::string Zone;
  std::string Service;
  std::string Version;
  Incarnation Run = 0;
  // Record version. The member itself raises it when it changes a fact or
  // refutes a suspicion, so that its newer record replaces older ones.
  std::uint32_t RecordVersion = 0;
  MemberState State = MemberState::Alive;
  bool Draining = false;

  bool operator==(const Member &) const = default;
};

// Returns true if the member is presumed to run: Alive or Suspect.
[[nodiscard]] inline bool isLive(const Member &Record) {
  return Record.State == MemberState::Alive ||
         Record.State == MemberState::Suspect;
}

} // namespace magnolia::policy

#endif
