#ifndef POLICY_RETRY_OUTCOME_H
#define POLICY_RETRY_OUTCOME_H

#include "policy/core/error_kind.h"

namespace magnolia::policy {

enum class OutcomeEvent : std::uint8_t {
  // The request could not be sent at all, or the sidecar rejected it. Kind
  // says whether the rejection proves that it did not run.
  Rejected,
  // The connection broke or the sidecar gave no answer for too long, after the
  // request was sent.
  Lost,
  // The hedging delay passed without a response.
  Slow,
  // Results of a fence: never_run, started, or none within the time allowed.
  FenceNeverRun,
  FenceStarted,
  FenceSilent,
};

// What happened to one attempt.
struct Outcome {
  OutcomeEvent Event = OutcomeEvent::Rejected;
  ErrorKind Kind = ErrorKind::Internal;
  // The answer carries Magnolia-Retry: exhausted.
  bool RetriesExhausted = false;
  // The attempt was sent to a backend server, whether it ran or not.
  bool Reached = false;
};

} // namespace magnolia::policy

#endif
