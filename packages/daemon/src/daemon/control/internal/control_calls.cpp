#include "daemon/control/internal/control_core.h"

#include "daemon/control/clock.h"

#include <utility>
#include <wire/control.pb.h>

namespace magnolia::daemon::internal {

bool ControlCore::onCall(wire::ControlBody Body, ControlReply Reply) {
  return Queue.post([this, Body = std::move(Body), Reply = std::move(Reply)] {
    wire::ControlBody Response;
    Response.set_from(Options.Self.Node);
    handleRequest(Body, Response);
    Reply(std::move(Response));
  });
}

void ControlCore::handleRequest(const wire::ControlBody &Request,
                                wire::ControlBody &Response) {
  switch (Request.kind_case()) {
  case wire::ControlBody::kPushConfig:
    Config->onPush(Request.push_config(), Request.from(), Response);
    return;
  case wire::ControlBody::kExchangeDigest:
    Config->onExchange(Request.exchange_digest(), Request.from(), Response);
    return;
  case wire::ControlBody::kFetchConfig:
    Config->onFetch(Request.fetch_config(), Response);
    return;
  case wire::ControlBody::kPullMembers:
    Membership->onPull(Request.pull_members(), Response, steadyNow());
    return;
  case wire::ControlBody::kEvidence:
    Rollouts->onStatsReport(Request.evidence());
    Response.mutable_evidence_answer();
    return;
  case wire::ControlBody::kVerdict:
    Rollouts->onVerdict(Request.verdict());
    Response.mutable_verdict_answer();
    return;
  case wire::ControlBody::kUsage:
    if (Usage) {
      Usage->onMessage(Request.usage(), *Response.mutable_usage_answer());
    }
    return;
  case wire::ControlBody::kStatus:
    fillStatus(Response);
    return;
  case wire::ControlBody::kDump:
    Response.mutable_dump_answer()->set_json(dump());
    return;
  default:
    // A method of a later version. The caller gets a body without a response.
    return;
  }
}

} // namespace magnolia::daemon::internal
