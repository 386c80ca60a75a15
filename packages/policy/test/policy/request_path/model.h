#ifndef POLICY_TEST_REQUEST_PATH_MODEL_H
#define POLICY_TEST_REQUEST_PATH_MODEL_H

#include "policy/admission/admit.h"
#include "policy/ledger/run_once.h"
#include "policy/probe/next_probe.h"
#include "policy/retry/plan_next.h"
#include "policy/route/choose.h"
#include "policy/route/feedback.h"
#include "policy/route/update_candidates.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>

namespace magnolia::policy::test {

// Request of a caller. The backend server returns Body in its response.
struct Call {
  std::uint64_t Body = 0;
  std::size_t Entry = 0;
  AttemptState State;
  std::vector<NodeId> Tried;
  std::string Key;
  bool Ended = false;
  // True if the response states that the request did not run.
  bool ToldNotRun = false;
};

// One attempt of a request, used as its message as well.
struct Attempt {
  RequestId Id;
  std::size_t Call = 0;
  std::size_t Server = 0;
  Incarnation ExpectedIncarnation = 0;
  Dispatch Sent;
  bool Ended = false;
};

// Sidecar with a fake backend server.
struct Server {
  Incarnation Run = 1;
  AdmissionState Admission;
  std::unique_ptr<RunLedger> Ledger;
  std::map<Ticket, std::shared_ptr<Attempt>> Waiting;
  std::uint32_t InFlight = 0;
  TimePoint StartedAt{};
  TimePoint PausedUntil{};
};

struct Entry {
  RouteState Route;
  RetryBudget Retries;
  ProbeBudget Probes;
  std::uint64_t Sequence = 0;
};

// Simulates entry nodes, sidecars and fake backend servers under random faults
// in virtual time. The fake backend servers record which requests ran.
class Model {
public:
  explicit Model(std::uint64_t Seed);
  void run();

  [[nodiscard]] const std::vector<std::string> &faults() const {
    return Faults;
  }
  [[nodiscard]] std::uint64_t succeeded() const { return Succeeded; }
  [[nodiscard]] std::uint64_t notRun() const { return NotRun; }
  [[nodiscard]] std::uint64_t unknown() const { return Unknown; }

private:
  using AttemptPtr = std::shared_ptr<Attempt>;

  void after(Duration Delay, std::function<void()> Action);
  [[nodiscard]] Duration delay(int MaxMs);
  [[nodiscard]] bool chance(double Share);
  void check(bool Ok, const std::string &Text);

  // Callers and entry nodes.
  void startCall();
  void send(std::size_t At);
  void decide(const AttemptPtr &Sent, const Outcome &Result);
  void onAttemptTimeout(const AttemptPtr &Sent);
  void fenceAttempt(const AttemptPtr &Sent);
  void receive(const AttemptPtr &Sent, std::optional<ErrorKind> Kind,
               std::uint64_t Body, const LoadReport &Load);
  void end(std::size_t At, std::optional<ErrorKind> Kind, std::uint64_t Body);
  void refresh(std::size_t At);

  // Sidecars. A message to an earlier incarnation is lost with its connection.
  void deliver(const AttemptPtr &Sent, Incarnation To);
  void start(const AttemptPtr &Sent);
  void finish(const AttemptPtr &Sent, Incarnation StartedBy, Duration Time);
  void release(Server &At, const Completion &Ended);
  void reject(const AttemptPtr &Sent, ErrorKind Kind);
  void reply(const AttemptPtr &Sent, std::optional<ErrorKind> Kind,
             std::uint64_t Body);
  void restart(Server &At, Incarnation Run) const;
  void crash(std::size_t At);
  void expireWaiting(std::size_t At);

  struct Event {
    TimePoint At{};
    std::uint64_t Order = 0;
    std::function<void()> Action;
    bool operator>(const Event &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };

  RandomEngine Random;
  TimePoint Now{std::chrono::seconds(1)};
  std::uint64_t Order = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::vector<Server> Servers;
  std::vector<Entry> Entries;
  std::vector<Call> Calls;
  // Number of runs of each body, counted by the backend servers.
  std::map<std::uint64_t, int> RunCounts;
  std::vector<std::string> Faults;
  std::uint64_t Succeeded = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
};

} // namespace magnolia::policy::test

#endif
