#include "simulation.h"

#include <algorithm>

namespace magnolia::policy::bench {

std::uint32_t Simulation::capacity(const ServerModel &Server) const {
  Duration BusyTime = Server.BusyTime;
  if (Server.InFlight > 0) {
    BusyTime += Now - Server.BusySince;
  }
  if (BusyTime >= Plan.ColdStart) {
    return Plan.Size.Slots;
  }
  const double Share = static_cast<double>(BusyTime.count()) /
                       static_cast<double>(Plan.ColdStart.count());
  return 1 + static_cast<std::uint32_t>((Plan.Size.Slots - 1) * Share);
}

LoadReport Simulation::reportOf(const ServerModel &Server) const {
  LoadReport Report = loadReport(Server.Admission);
  if (Server.Lying) {
    Report.InFlight = 0;
    Report.Waiting = 0;
    Report.Limit = 10 * Plan.Size.Slots;
    Report.Latency = std::chrono::microseconds(10);
  }
  return Report;
}

void Simulation::deliver(std::uint32_t Id) {
  ServerModel &Server = Servers[Attempts[Id].Server];
  if (Server.Silent) {
    return;
  }
  const TimePoint Deadline = Requests[Attempts[Id].Request].State.Deadline;
  const AdmissionDecision Decision =
      admit(Server.Admission, {.Deadline = Deadline}, Now);
  switch (Decision.Action) {
  case AdmissionAction::Run:
    return start(Id);
  case AdmissionAction::Wait:
    Server.Waiting.emplace(Decision.Id, Id);
    post(EventKind::Expire, nextExpiry(Server.Admission) - Now,
         Attempts[Id].Server);
    return;
  case AdmissionAction::Refuse:
    return reject(Id, Decision.Kind);
  }
}

void Simulation::reject(std::uint32_t Id, ErrorKind Kind) {
  Attempts[Id].Rejection = Kind;
  reply(Id);
}

void Simulation::reply(std::uint32_t Id) {
  AttemptModel &Attempt = Attempts[Id];
  if (Servers[Attempt.Server].Silent) {
    return;
  }
  Attempt.Load = reportOf(Servers[Attempt.Server]);
  post(EventKind::Response,
       distance(Requests[Attempt.Request].Entry, Attempt.Server), Id);
}

void Simulation::start(std::uint32_t Id) {
  AttemptModel &Attempt = Attempts[Id];
  ServerModel &Server = Servers[Attempt.Server];
  if (Server.Down) {
    onConnectFailure(Server.Admission, Now);
    leave(Server, {.NotSent = true});
    return reject(Id, ErrorKind::BackendConnectFailed);
  }
  onBackendIncarnation(Server.Admission, Server.Run, Now);
  if (Server.Failing) {
    Attempt.Faulty = true;
    leave(Server, {.Failed = true});
    return reply(Id);
  }
  if (Server.InFlight >= capacity(Server)) {
    ++Result.Overloads;
    Attempt.Faulty = true;
    leave(Server, {.Failed = true});
    return reply(Id);
  }
  if (Server.InFlight++ == 0) {
    Server.BusySince = Now;
  }
  Attempt.Run = Server.Run;
  Attempt.RunAt = Now;
  const double Mean = static_cast<double>(Plan.Size.Service.count()) *
                      Server.Noise * Server.Slowness;
  post(EventKind::Finish,
       Duration{
           static_cast<std::int64_t>(Mean * Requests[Attempt.Request].Work)},
       Id);
}

void Simulation::finish(std::uint32_t Id) {
  AttemptModel &Attempt = Attempts[Id];
  ServerModel &Server = Servers[Attempt.Server];
  if (Attempt.Run != Server.Run) {
    return;
  }
  if (--Server.InFlight == 0) {
    Server.BusyTime += Now - Server.BusySince;
  }
  const Duration Time = Now - Attempt.RunAt;
  leave(Server, {.Latency = Time});
  reply(Id);
}

void Simulation::leave(ServerModel &Server, const Completion &Ended) {
  for (const Ticket Id : complete(Server.Admission, Ended, Now)) {
    const auto Found = Server.Waiting.find(Id);
    const std::uint32_t Attempt = Found->second;
    Server.Waiting.erase(Found);
    start(Attempt);
  }
}

void Simulation::expireWaiting(std::uint32_t At) {
  ServerModel &Server = Servers[At];
  for (const Expiry &Ended : expire(Server.Admission, Now)) {
    const auto Found = Server.Waiting.find(Ended.Id);
    const std::uint32_t Attempt = Found->second;
    Server.Waiting.erase(Found);
    reject(Attempt, Ended.Kind);
  }
  const TimePoint Next = nextExpiry(Server.Admission);
  if (Next != TimePoint::max()) {
    post(EventKind::Expire, Next - Now, At);
  }
}

void Simulation::restart(ServerModel &Server) {
  const Incarnation Old = Server.Run++;
  Server.Down = true;
  Server.InFlight = 0;
  Server.BusyTime = Duration{0};
  for (std::uint32_t Id = 0; Id < Attempts.size(); ++Id) {
    AttemptModel &Attempt = Attempts[Id];
    if (Attempt.Server == 0 && Attempt.Run == Old && !Attempt.Ended &&
        !Attempt.Faulty && Attempt.Load == LoadReport{}) {
      Attempt.Faulty = true;
      onConnectFailure(Server.Admission, Now);
      leave(Server, {.Failed = true});
      reply(Id);
    }
  }
}

} // namespace magnolia::policy::bench
