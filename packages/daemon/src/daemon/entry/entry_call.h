#ifndef DAEMON_ENTRY_ENTRY_CALL_H
#define DAEMON_ENTRY_ENTRY_CALL_H

#include "daemon/entry/entry.h"
#include "daemon/peer/call.h"
#include "daemon/peer/peer_exchange.h"
#include "daemon/sidecar/sidecar_call.h"
#include "policy/retry/attempt_state.h"
#include "policy/retry/outcome.h"
#include "policy/retry/retry_decision.h"
#include "policy/route/feedback.h"

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::daemon {

// One request of a caller at its entry node: choice of a sidecar, attempts,
// hedges, fences and the final answer. One thread runs it from start to end.
class EntryCall {
public:
  struct Given {
    CallRequest Request;
    std::shared_ptr<ServiceRuntime> Runtime;
    // Path prefix of the route rule, for the evidence.
    std::string Route;
    // The caller's request says that retries are used up.
    bool RetriesExhausted = false;
    // Most backend servers that may get the request; 0: as many as attempts.
    std::uint32_t MaxRuns = 0;
    // True where a second copy may be sent to a server while the first runs.
    bool MayHedge = true;
    // Connection of the caller; watched, so that its end cancels the call.
    int CallerFd = -1;
  };

  EntryCall(Entry &Owner, Given Call);

  // Runs the request to its end.
  [[nodiscard]] CallAnswer run();

  // True where the answer must carry Magnolia-Retry: exhausted.
  [[nodiscard]] bool retriesExhausted() const { return Exhausted; }

private:
  // One copy of the request at one sidecar; one of Remote and Local is set.
  struct Attempt {
    policy::Dispatch Sent;
    // Another sidecar could take the request instead.
    bool HasChoice = false;
    PeerAddress Peer;
    std::string Version;
    policy::Incarnation SentTo = 0;
    std::unique_ptr<PeerExchange> Remote;
    std::unique_ptr<SidecarCall> Local;
  };

  [[nodiscard]] std::optional<policy::ErrorKind> refusalAtOnce();
  // Starts an attempt; an outcome where it ended at once.
  [[nodiscard]] std::optional<policy::Outcome> startAttempt();
  [[nodiscard]] std::optional<Attempt> chooseTarget(policy::Error &LastError);
  [[nodiscard]] std::optional<policy::Outcome> dispatch(Attempt &Made);
  [[nodiscard]] policy::Outcome notSent(const Attempt &Made,
                                        std::string Reason);

  void wait();
  void step(policy::TimePoint Now);
  void advance(std::list<Attempt>::iterator Place, policy::TimePoint Now);
  void answered(std::list<Attempt>::iterator Place, CallAnswer Answer,
                policy::TimePoint Now);
  void failed(std::list<Attempt>::iterator Place, CallAnswer Answer,
              policy::TimePoint Now);
  void lost(std::list<Attempt>::iterator Place, policy::TimePoint Now);
  void deadlinePassed(policy::TimePoint Now);

  // Acts on an outcome until the call waits again or has a result. Lost is
  // the attempt that a fence would be for.
  void resolve(const policy::Outcome &First, const Attempt *Lost);
  [[nodiscard]] policy::Outcome fence(const Attempt &Lost);
  void giveUp(const policy::RetryDecision &Decision);

  // Id that the caller gave the request, or empty.
  [[nodiscard]] std::string_view callerId() const;
  void logEnd(policy::TimePoint Now) const;
  void logAttempt(const Attempt &Made, policy::ErrorKind Kind,
                  std::string_view Detail) const;
  void cancelOpen(policy::TimePoint Now);
  void record(const Attempt &Ended, bool Failed, policy::TimePoint Now);

  Entry &Owner;
  Given Call;
  policy::AttemptState State;
  std::list<Attempt> Open;
  std::vector<policy::NodeId> Tried;
  std::optional<policy::TimePoint> HedgeAt;
  // Last error that ended an attempt.
  std::optional<CallAnswer> LastError;
  std::optional<CallAnswer> Result;
  bool Exhausted = false;
  // Set where the caller closed its connection.
  bool CallerGone = false;
};

} // namespace magnolia::daemon

#endif
