#ifndef POLICY_MEMBERSHIP_FWD_H
#define POLICY_MEMBERSHIP_FWD_H

#include <cstdint>

namespace magnolia::policy {

enum class MemberState : std::uint8_t;
enum class MessageType : std::uint8_t;
struct Contact;
struct Member;
struct MemberFacts;
struct MemberTable;
struct MembershipAction;
struct MembershipCounters;
struct MembershipMessage;
struct MembershipOptions;
struct MembershipState;

} // namespace magnolia::policy

#endif
