#ifndef DAEMON_USAGE_USAGE_CODEC_H
#define DAEMON_USAGE_USAGE_CODEC_H

#include "policy/usage/duty_facts.h"
#include "policy/usage/usage_message.h"

namespace magnolia::wire {
class DutyFacts;
class UsageRequest;
} // namespace magnolia::wire

namespace magnolia::daemon {

// Convert the counts of a node to and from their wire format. Windows above the
// maximum of a message are left out.
void toWire(const policy::UsageMessage &Message, wire::UsageRequest &Request);
[[nodiscard]] policy::UsageMessage fromWire(const wire::UsageRequest &Request);

void toWire(const policy::DutyFacts &Facts, bool Holds, wire::DutyFacts &Sent);
[[nodiscard]] policy::DutyFacts fromWire(const wire::DutyFacts &Sent);

} // namespace magnolia::daemon

#endif
