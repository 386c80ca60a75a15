#include "simulation.h"

#include <algorithm>

namespace magnolia::policy::bench {

namespace {

// Probes per request of the pooled-probes baseline.
constexpr int PooledProbesPerRequest = 2;
// Shape of the lognormal service time.
constexpr double Sigma = 0.5;
constexpr auto Milli = static_cast<double>(
    std::chrono::duration_cast<Duration>(std::chrono::milliseconds(1)).count());

double milliseconds(Duration Time) {
  return static_cast<double>(Time.count()) / Milli;
}

} // namespace

void Simulation::arrive() {
  std::exponential_distribution<> Gap(Plan.Load * capacityOf(Plan.Size));
  post(EventKind::Arrive,
       std::chrono::duration_cast<Duration>(
           std::chrono::duration<double>(Gap(Load))),
       0);
  const auto At = static_cast<std::uint32_t>(Load() % Entries.size());
  const bool Idempotent =
      std::bernoulli_distribution(Plan.IdempotentShare)(Load);
  // Lognormal with mean one.
  std::lognormal_distribution<> Work(-Sigma * Sigma / 2, Sigma);
  EntryModel &Entry = Entries[At];
  const auto Id = static_cast<std::uint32_t>(Requests.size());
  Requests.push_back({.Entry = At, .Start = Now});
  Requests[Id].Work = Work(Load);
  Requests[Id].State.Idempotent = Idempotent;
  Requests[Id].State.Deadline = Now + Plan.Deadline;
  Result.Requests += counts(Now) ? 1 : 0;
  if (Plan.Shed && !admitService(Entry.Overload, Now, Policy)) {
    Result.Shed += counts(Now) ? 1 : 0;
    Requests[Id].Done = true;
    return;
  }
  recordRequest(Entry.Retries, Now);
  recordRequest(Entry.Probes, Now);
  probe(Entry, At);
  send(Id);
  post(EventKind::Deadline, Plan.Deadline, Id);
  if (Plan.Hedge && Entry.Route.Median.count() > 0) {
    post(EventKind::Hedge, hedgeDelay(Entry.Route.Median), Id);
  }
}

void Simulation::probe(EntryModel &Entry, std::uint32_t At) {
  if (Plan.Algorithm == Baseline::PooledProbes) {
    for (int I = 0; I < PooledProbesPerRequest; ++I) {
      const auto Server = static_cast<std::uint32_t>(Policy() % Servers.size());
      post(EventKind::Probe, distance(At, Server), At, Server);
      ++Entry.Probes.Probes;
    }
  } else if (!Plan.Algorithm) {
    if (const auto Node = nextProbe(Entry.Probes, Entry.Route, Now, Policy)) {
      const auto Server = static_cast<std::uint32_t>(*Node - 1);
      onProbe(Entry.Route, *Node, Now);
      post(EventKind::Probe, distance(At, Server), At, Server);
    }
    Result.ProbeExcess =
        std::max(Result.ProbeExcess, static_cast<double>(Entry.Probes.Probes) -
                                         probesAllowed(Entry.Probes, Now));
  }
}

std::optional<NodeId> Simulation::chooseNode(EntryModel &Entry,
                                             const RequestModel &Request) {
  const RouteQuery Query{.Idempotent = Request.State.Idempotent,
                         .Excluded = Request.Tried};
  if (Plan.Algorithm) {
    return chooseBaseline(Entry.Baseline, Entry.Route, Query, Now, Policy);
  }
  Error LastError;
  const auto Node = choose(Entry.Route, Query, Now, Policy, LastError);
  observe(Entry);
  return Node;
}

void Simulation::observe(EntryModel &Entry) {
  const auto Count = static_cast<double>(Entry.Route.Active.size());
  Result.MinEligible =
      std::min(Result.MinEligible, 1 - Entry.Route.Ejected / Count);
  Entry.WasEjected.resize(Servers.size());
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    const bool IsEjected =
        findCandidate(Entry.Route, I + 1)->Health.Phase != HealthPhase::Healthy;
    const bool Faulty = I == 0 && Plan.Kind != Fault::None && counts(Now);
    Result.FalseEjections +=
        IsEjected && !Entry.WasEjected[I] && !Faulty ? 1 : 0;
    Entry.Noticed |= IsEjected && Faulty;
    Entry.WasEjected[I] = IsEjected;
  }
}

void Simulation::countAttempt(std::uint32_t Server, bool Trial) {
  if (!counts(Now)) {
    return;
  }
  const Duration Since = Now - Begin - Plan.FaultAt;
  ++Result.Attempts;
  Result.LateAttempts += Server == 0 && Since >= LateAfter ? 1 : 0;
  if (Since / DetectBucket != Bucket) {
    if (BucketFaulty >= DetectShare * BucketAttempts && BucketFaulty > 0) {
      Result.DetectMs = milliseconds((Bucket + 1) * DetectBucket);
    }
    Bucket = Since / DetectBucket;
    BucketAttempts = 0;
    BucketFaulty = 0;
  }
  ++BucketAttempts;
  BucketFaulty += Server == 0 && !Trial ? 1 : 0;
}

void Simulation::send(std::uint32_t Id) {
  RequestModel &Request = Requests[Id];
  EntryModel &Entry = Entries[Request.Entry];
  const auto Node = chooseNode(Entry, Request);
  if (!Node) {
    if (Request.State.Open == 0) {
      finishRequest(Id, ErrorKind::NoBackendServer);
    }
    return;
  }
  const auto Server = static_cast<std::uint32_t>(*Node - 1);
  onAttempt(Request.State);
  Request.Tried.push_back(*Node);
  countAttempt(Server, findCandidate(Entry.Route, *Node)->Health.Phase !=
                           HealthPhase::Healthy);
  if (Server == 0 && counts(Now) && !Entry.Noticed) {
    Result.Exposed = std::max(Result.Exposed, ++Entry.Exposed);
  }
  Attempts.push_back({.Request = Id,
                      .Server = Server,
                      .Sent = onDispatch(Entry.Route, *Node, Now)});
  post(EventKind::Deliver, distance(Request.Entry, Server),
       static_cast<std::uint32_t>(Attempts.size() - 1));
}

void Simulation::receiveResponse(std::uint32_t Id) {
  AttemptModel &Attempt = Attempts[Id];
  if (Attempt.Ended) {
    return;
  }
  Attempt.Ended = true;
  RequestModel &Request = Requests[Attempt.Request];
  EntryModel &Entry = Entries[Request.Entry];
  if (Attempt.Rejection) {
    onRejection(Entry.Route, Attempt.Sent, *Attempt.Rejection, Attempt.Load,
                Now);
  } else {
    onResponse(Entry.Route, Attempt.Sent,
               {.Load = Attempt.Load, .Faulty = Attempt.Faulty}, Now);
  }
  if (Request.Done) {
    return;
  }
  onAttemptEnd(Request.State);
  if (!Attempt.Rejection && !Attempt.Faulty) {
    finishRequest(Attempt.Request, std::nullopt);
    return;
  }
  const ErrorKind Kind =
      Attempt.Rejection.value_or(ErrorKind::BackendBrokenAnswer);
  const RetryDecision Next =
      planNext(Request.State, {.Event = OutcomeEvent::Rejected, .Kind = Kind},
               Entry.Retries, Now);
  if (Next.Action == RetryAction::RetryElsewhere) {
    send(Attempt.Request);
  } else if (Next.Action == RetryAction::GiveUp) {
    finishRequest(Attempt.Request, Next.Kind);
  }
}

void Simulation::hedge(std::uint32_t Id) {
  RequestModel &Request = Requests[Id];
  if (!Request.Done && planNext(Request.State, {.Event = OutcomeEvent::Slow},
                                Entries[Request.Entry].Retries, Now)
                               .Action == RetryAction::Hedge) {
    send(Id);
  }
}

void Simulation::deadline(std::uint32_t Id) {
  RequestModel &Request = Requests[Id];
  if (Request.Done) {
    return;
  }
  for (std::size_t I = Attempts.size(); I-- > 0;) {
    AttemptModel &Attempt = Attempts[I];
    if (Attempt.Sent.Start < Request.Start) {
      break;
    }
    if (Attempt.Request == Id && !Attempt.Ended) {
      Attempt.Ended = true;
      onFailure(Entries[Request.Entry].Route, Attempt.Sent,
                ErrorKind::DeadlineExceededUnknown, Now);
    }
  }
  finishRequest(Id, ErrorKind::DeadlineExceededUnknown);
}

void Simulation::finishRequest(std::uint32_t Id,
                               std::optional<ErrorKind> Kind) {
  RequestModel &Request = Requests[Id];
  Request.Done = true;
  record(Entries[Request.Entry].Overload, !Kind || !isCapacityRejection(*Kind),
         Now);
  if (!counts(Request.Start)) {
    return;
  }
  if (Kind) {
    ++Result.Errors;
    ++Result.ErrorKinds[static_cast<std::size_t>(*Kind)];
    return;
  }
  ++Result.Good;
  Result.Latencies.push_back(
      milliseconds(Now - Request.Start + 2 * Plan.Size.ClientOneWay));
}

} // namespace magnolia::policy::bench
