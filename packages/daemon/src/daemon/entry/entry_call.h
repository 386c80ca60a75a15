#ifndef DAEMON_ENTRY_ENTRY_CALL_H
#define DAEMON_ENTRY_ENTRY_CALL_H

#include "daemon/entry/entry.h"
#include "daemon/entry/fwd.h"
#include "daemon/peer/call.h"
#include "daemon/peer/peer_exchange.h"
#include "daemon/sidecar/sidecar_call.h"
#include "daemon/view/organisation_index.h"
#include "policy/overload/fwd.h"
#include "policy/retry/attempt_state.h"
#include "policy/retry/outcome.h"
#include "policy/retry/retry_decision.h"
#include "policy/route/feedback.h"
#include "policy/route/fwd.h"

#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::daemon {

// One request of a caller at its entry node: choice of a sidecar, attempts,
// hedges, fences and the final response. It runs on one thread throughout.
class EntryCall {
public:
  struct Parameters {
    CallRequest Request;
    std::shared_ptr<ServiceRuntime> Runtime;
    // Path prefix of the route rule; labels the response statistics.
    std::string Route;
    // True if the caller's request states that its retries are exhausted.
    bool RetriesExhausted = false;
    // Maximum number of backend servers that may receive the request; 0 allows
    // one for each attempt.
    std::uint32_t MaxRuns = 0;
    // True if a hedge may be sent to another server while the first attempt
    // runs.
    bool MayHedge = true;
    // True if the request is admitted by the losses of nested calls.
    bool WorkloadAware = false;
    // Time until which the caller waits; unset if it states none.
    policy::TimePoint CallerDeadline{};
    // Set if the request was accepted because of this key. It is checked again
    // before each attempt, because it may be withdrawn while the request waits.
    std::optional<KeyDigest> Key;
    // Tells when the caller is gone and the call is cancelled; null if nothing
    // does. It outlives the call.
    CallerWatch *Caller = nullptr;
  };

  EntryCall(Entry &Owner, Parameters Call);

  // Runs the request and returns its final response.
  [[nodiscard]] CallResponse run();

  // True if the response must carry Magnolia-Retry: exhausted.
  [[nodiscard]] bool retriesExhausted() const { return Exhausted; }
  // Time after which a rejected caller should return; nothing if no moment is
  // planned for it.
  [[nodiscard]] std::optional<policy::Duration> retryAfter() const {
    return ReturnAfter;
  }

private:
  // One attempt at one sidecar. Exactly one of Remote and Local is set.
  struct Attempt {
    policy::Dispatch Sent;
    // True if another sidecar could take the request instead.
    bool HasChoice = false;
    PeerAddress Peer;
    std::string Version;
    policy::Incarnation SentTo = 0;
    // Network round-trip time to the zone of the sidecar.
    policy::Duration Distance{};
    // True for a second copy under the limit of the operators.
    bool IsHedge = false;
    std::unique_ptr<PeerExchange> Remote;
    std::unique_ptr<SidecarCall> Local;
  };

  // Second copy that was sent under the limit of the operators.
  struct HedgeRecord {
    policy::Duration Delay{};
    policy::NodeId Target = 0;
    // Free slots of the target by its last report.
    std::uint32_t Room = 0;
    // How it ended: won, cancelled or failed.
    std::string_view Ending = "failed";
  };

  [[nodiscard]] std::optional<policy::ErrorKind> initialRefusal();
  // Returns false if the request is rejected because nested calls of its route
  // find no capacity.
  [[nodiscard]] bool admitByLosses(policy::TimePoint Now);
  // Records the counts of the request's route that a sidecar reported.
  void reportCounts(policy::NodeId Sidecar, const policy::RouteCounts &Counts,
                    policy::TimePoint Now);
  // Records a lost nested call at its parent, and plans the return of a
  // rejected caller.
  void applyResult(policy::TimePoint Now);
  void logShed() const;
  // Limits the deadline to the end of a planned stop. Returns false if no
  // attempt may start because the stop could cut it.
  [[nodiscard]] bool limitToStop(policy::TimePoint Now);
  // Lets the call wait if the node has just started and knows no backend server
  // of the service yet. Sets the result if the call ended meanwhile.
  void awaitBackends();
  [[nodiscard]] policy::WaitStep waitForBackends(policy::TimePoint Until);
  // Waits until the time has passed or the caller leaves.
  void sleepUnlessGone(policy::TimePoint Until);
  // Returns the number of backend servers of the service that the node knows
  // now.
  [[nodiscard]] std::size_t knownBackends(policy::TimePoint Now);
  // Counts and logs the result of a call that waited.
  void recordStartWait() const;
  // Returns the kind of the refusal if the key was withdrawn.
  [[nodiscard]] std::optional<policy::ErrorKind> keyRefusal() const;
  // Starts an attempt. Returns an outcome if the attempt ended immediately.
  [[nodiscard]] std::optional<policy::Outcome> startAttempt();
  [[nodiscard]] std::optional<Attempt> chooseTarget(policy::Error &LastError);
  // Builds an attempt at the node. The caller must hold the mutex of the
  // service.
  [[nodiscard]] Attempt makeAttempt(policy::NodeId Node, policy::TimePoint Now);
  // Sends the attempt. Returns an outcome if it ended immediately.
  [[nodiscard]] std::optional<policy::Outcome> launch(Attempt Current);
  [[nodiscard]] std::optional<policy::Outcome> dispatch(Attempt &Current);
  // Records that the sidecar did not accept a connection.
  void recordConnectFailure(const Attempt &Current, policy::TimePoint Now);
  [[nodiscard]] policy::Outcome handleSendFailure(const Attempt &Current,
                                                  std::string Reason);

  void wait();
  void step(policy::TimePoint Now);
  void advance(std::list<Attempt>::iterator It, policy::TimePoint Now);
  void handleResponse(std::list<Attempt>::iterator It, CallResponse Response,
                      policy::TimePoint Now);
  void handleFailure(std::list<Attempt>::iterator It, CallResponse Response,
                     policy::TimePoint Now);
  void handleLoss(std::list<Attempt>::iterator It, policy::TimePoint Now);
  void handleDeadline(policy::TimePoint Now);

  // Sets the time at which a second copy may be sent. The caller must hold the
  // mutex of the service.
  void setHedgeTime(const Attempt &Current, policy::TimePoint Now);
  // Sends a second copy if the decisions permit it.
  void handleSlow(policy::TimePoint Now);
  [[nodiscard]] std::optional<Attempt> makeHedge(policy::TimePoint Now);
  // Name under which the response times of the route are kept.
  [[nodiscard]] std::string_view hedgeRoute() const;
  // Records the response time of a first copy, or the time that it had taken
  // when it was cancelled.
  void recordHedgeSample(const Attempt &First, policy::TimePoint Now);
  // Passes the response to the caller, or holds it while the other copy is
  // open.
  void acceptResponse(const Attempt &From, CallResponse Response, bool Faulty);
  void endHedge(std::string_view Ending);

  // Applies the retry decisions for an outcome until the call waits again or
  // has a result. Lost is the attempt that a fence decision refers to.
  void resolve(const policy::Outcome &First, const Attempt *Lost);
  [[nodiscard]] policy::Outcome fence(const Attempt &Lost);
  void finishWithError(const policy::RetryDecision &Decision);

  // Returns the request id set by the caller, or an empty string.
  [[nodiscard]] std::string_view callerId() const;
  void logEnd(policy::TimePoint Now) const;
  void logAttempt(const Attempt &Current, policy::ErrorKind Kind,
                  std::string_view Detail) const;
  void logHedge() const;
  void cancelInFlight(policy::TimePoint Now);
  void record(const Attempt &Ended, bool Failed, policy::TimePoint Now);

  Entry &Owner;
  Parameters Call;
  policy::AttemptState State;
  std::list<Attempt> InFlight;
  std::vector<policy::NodeId> Tried;
  // Time at which a second copy may be sent; the maximum once it has passed.
  std::optional<policy::TimePoint> HedgeAt;
  // Limit of the operators for second copies; 0 if they set none.
  std::uint32_t HedgePercent = 0;
  policy::Duration HedgeDelay{};
  std::optional<HedgeRecord> Hedged;
  // Server error of one copy, held until the other one has ended.
  std::optional<CallResponse> Held;
  // Error of the attempt that failed last.
  std::optional<CallResponse> LastError;
  std::optional<CallResponse> Result;
  bool Exhausted = false;
  // Decision that rejected the request for lost nested calls.
  std::optional<policy::RouteDecision> Shed;
  std::optional<policy::Duration> ReturnAfter;
  // Time that the call waited for a backend server to become known.
  std::optional<policy::Duration> StartWait;
  // True once the caller has closed its connection.
  bool CallerGone = false;
};

// Returns the constraints on the choice of a backend server for the first
// attempt, without the shares of the versions.
[[nodiscard]] policy::RouteQuery
routeQueryOf(const EntryCall::Parameters &Call);

// Returns what the admission by the losses of nested calls decides by.
[[nodiscard]] policy::RouteArrival arrivalOf(const EntryCall::Parameters &Call);

// True if the call may be rejected for the losses of nested calls.
[[nodiscard]] bool isShedByLosses(const EntryOptions &Options,
                                  const EntryCall::Parameters &Call);

// Returns the deadline of a request at a node that stops, or nothing if no
// attempt may start because the stop could cut it.
[[nodiscard]] std::optional<policy::TimePoint>
deadlineBeforeStop(const CallRequest &Request, const policy::StopWindow &Stop,
                   policy::TimePoint Now);

} // namespace magnolia::daemon

#endif
