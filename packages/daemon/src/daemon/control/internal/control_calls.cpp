#include "daemon/control/internal/control_core.h"

#include "daemon/control/clock.h"

#include <utility>
#include <wire/control.pb.h>

namespace magnolia::daemon::internal {

bool ControlCore::onCall(wire::ControlBody Body, ControlReply Reply) {
  return Queue.post([this, Body = std::move(Body), Reply = std::move(Reply)] {
    wire::ControlBody Answer;
    Answer.set_from(Options.Self.Node);
    answer(Body, Answer);
    Reply(std::move(Answer));
  });
}

void ControlCore::answer(const wire::ControlBody &Request,
                         wire::ControlBody &Answer) {
  switch (Request.kind_case()) {
  case wire::ControlBody::kPushConfig:
    Config->onPush(Request.push_config(), Answer);
    return;
  case wire::ControlBody::kExchangeDigest:
    Config->onExchange(Request.exchange_digest(), Answer);
    return;
  case wire::ControlBody::kPullMembers:
    Membership->onPull(Request.pull_members(), Answer, steadyNow());
    return;
  case wire::ControlBody::kEvidence:
    Moves->onEvidence(Request.evidence());
    Answer.mutable_evidence_answer();
    return;
  case wire::ControlBody::kVerdict:
    Moves->onVerdict(Request.verdict());
    Answer.mutable_verdict_answer();
    return;
  case wire::ControlBody::kStatus:
    answerStatus(Answer);
    return;
  case wire::ControlBody::kDump:
    Answer.mutable_dump_answer()->set_json(dump());
    return;
  default:
    // A method of a later version: the caller sees that no answer is set.
    return;
  }
}

} // namespace magnolia::daemon::internal
