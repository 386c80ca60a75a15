#ifndef DAEMON_CONTROL_STATS_CODEC_H
#define DAEMON_CONTROL_STATS_CODEC_H

#include "policy/rollout/fwd.h"

#include <optional>
#include <string>

namespace magnolia::wire {
class EvidenceRequest;
}

namespace magnolia::daemon {

[[nodiscard]] wire::EvidenceRequest
toRequest(const std::string &Service, const policy::StatsReport &Report);

// Decodes a report. Returns nothing if the message has too many routes.
[[nodiscard]] std::optional<policy::StatsReport>
toReport(const wire::EvidenceRequest &Request);

} // namespace magnolia::daemon

#endif
