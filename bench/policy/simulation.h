#ifndef BENCH_POLICY_SIMULATION_H
#define BENCH_POLICY_SIMULATION_H

#include "scenario.h"

#include "policy/admission/admit.h"
#include "policy/overload/admit_service.h"
#include "policy/probe/next_probe.h"
#include "policy/retry/plan_next.h"
#include "policy/route/choose.h"
#include "policy/route/feedback.h"
#include "policy/route/update_candidates.h"

#include <queue>
#include <unordered_map>

namespace magnolia::policy::bench {

enum class EventKind : std::uint8_t {
  Arrive,
  Deliver,
  Finish,
  Response,
  Expire,
  Deadline,
  Hedge,
  Probe,
  ProbeResult,
  Noise,
  FaultOn,
  FaultOff,
};

// Event of the simulation. Subject is the index of a request, an attempt, a
// server or an entry node.
struct Event {
  TimePoint At{};
  std::uint64_t Order = 0;
  EventKind Kind = EventKind::Arrive;
  std::uint32_t Subject = 0;
  std::uint32_t Server = 0;

  bool operator>(const Event &Other) const {
    return At != Other.At ? At > Other.At : Order > Other.Order;
  }
};

// Backend server with its sidecar.
struct ServerModel {
  AdmissionState Admission;
  std::unordered_map<Ticket, std::uint32_t> Waiting;
  std::uint32_t InFlight = 0;
  // Time in which the server was busy. Its capacity grows with it.
  Duration BusyTime{0};
  TimePoint BusySince{};
  double Noise = 1;
  double Slowness = 1;
  bool Down = false;
  bool Silent = false;
  bool Failing = false;
  bool Lying = false;
  // Incarnation of the backend server. Attempts sent to an earlier one fail.
  Incarnation Run = 1;
};

struct EntryModel {
  std::uint32_t Zone = 0;
  RouteState Route;
  BaselineState Baseline;
  OverloadState Overload;
  RetryBudget Retries;
  ProbeBudget Probes;
  // Servers that were ejected at the last observation.
  std::vector<bool> WasEjected{};
  // Attempts sent to the faulty server before its first ejection.
  std::uint32_t Exposed = 0;
  bool Noticed = false;
};

struct RequestModel {
  std::uint32_t Entry = 0;
  TimePoint Start{};
  // Service time as a multiple of the server's mean.
  double Work = 1;
  AttemptState State{};
  std::vector<NodeId> Tried{};
  bool Done = false;
};

struct AttemptModel {
  std::uint32_t Request = 0;
  std::uint32_t Server = 0;
  Dispatch Sent;
  TimePoint RunAt{};
  Incarnation Run = 0;
  bool Ended = false;
  // Content of the response.
  std::optional<ErrorKind> Rejection{};
  bool Faulty = false;
  LoadReport Load{};
};

// Discrete-event simulation in virtual time of entry nodes, sidecars and
// backend servers that use the policy functions.
class Simulation {
public:
  explicit Simulation(const Scenario &Plan);
  Measures run();

private:
  void post(EventKind Kind, Duration After, std::uint32_t Subject,
            std::uint32_t Server = 0);
  void handle(const Event &Next);

  // Entry nodes.
  void arrive();
  void send(std::uint32_t Request);
  std::optional<NodeId> chooseNode(EntryModel &Entry,
                                   const RequestModel &Request);
  void receiveResponse(std::uint32_t Attempt);
  void reject(std::uint32_t Attempt, ErrorKind Kind);
  void hedge(std::uint32_t Request);
  void deadline(std::uint32_t Request);
  void finishRequest(std::uint32_t Request, std::optional<ErrorKind> Kind);
  void probe(EntryModel &Entry, std::uint32_t At);
  void observe(EntryModel &Entry);

  // Servers.
  void deliver(std::uint32_t Attempt);
  void start(std::uint32_t Attempt);
  void finish(std::uint32_t Attempt);
  void leave(ServerModel &Server, const Completion &Ended);
  void reply(std::uint32_t Attempt);
  void expireWaiting(std::uint32_t Server);
  void faultOn();
  void restart(ServerModel &Server);
  [[nodiscard]] std::uint32_t capacity(const ServerModel &Server) const;
  [[nodiscard]] LoadReport reportOf(const ServerModel &Server) const;
  [[nodiscard]] Duration distance(std::uint32_t Entry,
                                  std::uint32_t Server) const;
  [[nodiscard]] bool counts(TimePoint At) const;

  void countAttempt(std::uint32_t Server, bool Trial);

  Scenario Plan;
  Measures Result;
  // Arrivals with their service times, noisy neighbours and the policy each
  // have their own random engine, so that every algorithm gets the same load.
  RandomEngine Load;
  RandomEngine Noise;
  RandomEngine Policy;
  TimePoint Begin{std::chrono::seconds(1)};
  TimePoint Now = Begin;
  std::uint64_t Order = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  // Attempts in the current time bucket, and those to the first server.
  std::int64_t Bucket = -1;
  std::uint32_t BucketAttempts = 0;
  std::uint32_t BucketFaulty = 0;
  std::vector<ServerModel> Servers;
  std::vector<EntryModel> Entries;
  std::vector<RequestModel> Requests;
  std::vector<AttemptModel> Attempts;
};

} // namespace magnolia::policy::bench

#endif
