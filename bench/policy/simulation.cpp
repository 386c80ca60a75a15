#include "simulation.h"

#include <algorithm>
#include <cmath>

namespace magnolia::policy::bench {

namespace {

constexpr Duration NoiseEvery = std::chrono::milliseconds(50);
constexpr Duration DownTime = std::chrono::milliseconds(300);
constexpr std::uint32_t ZoneCount = 3;

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

Duration fromSeconds(double Time) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Time));
}

} // namespace

std::vector<Deployment> deployments() {
  return {{.Name = "kyushu", .Zones = {0, 1, 2, 0}},
          {.Name = "fes",
           .Zones = {1, 0, 2, 1},
           .Connections = 250,
           .ClientOneWay = std::chrono::milliseconds(1),
           .Service = std::chrono::milliseconds(6)}};
}

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty()) {
    return 0;
  }
  const auto At =
      Values.begin() + static_cast<std::ptrdiff_t>(
                           Share * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), At, Values.end());
  return *At;
}

Simulation::Simulation(const Scenario &From)
    : Plan(From), Load(From.Seed), Noise(From.Seed + 1000),
      Policy(From.Seed + 2000) {
  const bool Cold = Plan.Kind == Fault::AllCold;
  Servers.resize(Plan.Size.Zones.size());
  for (ServerModel &Server : Servers) {
    Server.Admission.Options.Slots = Plan.Size.Slots;
    Server.Admission.Options.Connections = Plan.Size.Connections;
    Server.Admission.Ramp = Cold ? 1 : Plan.Size.Slots;
    Server.Admission.Backend = 1;
    Server.BusyTime = Cold ? Duration{0} : Plan.ColdStart;
  }
  Entries.resize(Plan.Size.Entries);
  for (std::uint32_t At = 0; At < Entries.size(); ++At) {
    EntryModel &Entry = Entries[At];
    Entry.Zone = At % ZoneCount;
    Entry.Baseline.Kind = Plan.Algorithm.value_or(Baseline::Random);
    std::vector<CandidateSpec> Specs;
    for (std::uint32_t I = 0; I < Servers.size(); ++I) {
      Specs.push_back({.Node = I + 1,
                       .Run = 1,
                       .Zone = Plan.Size.Zones[I],
                       .Distance = 2 * distance(At, I)});
    }
    updateCandidates(Entry.Route, Specs, Now);
  }
  post(EventKind::Arrive, Duration{0}, 0);
  post(EventKind::FaultOn, Plan.FaultAt, 0);
  for (std::uint32_t I = 0; I < Servers.size(); ++I) {
    post(EventKind::Noise, Duration{0}, I);
  }
}

void Simulation::post(EventKind Kind, Duration After, std::uint32_t Subject,
                      std::uint32_t Server) {
  Events.push({.At = Now + After,
               .Order = ++Order,
               .Kind = Kind,
               .Subject = Subject,
               .Server = Server});
}

Duration Simulation::distance(std::uint32_t Entry, std::uint32_t Server) const {
  constexpr Duration SameZone = std::chrono::microseconds(50);
  return Entry % ZoneCount == Plan.Size.Zones[Server] ? SameZone
                                                      : Plan.Size.ZoneOneWay;
}

bool Simulation::counts(TimePoint At) const {
  return At >= Begin + Plan.FaultAt;
}

Measures Simulation::run() {
  const TimePoint End = Begin + Plan.Length;
  while (!Events.empty() && Events.top().At < End + Plan.Deadline) {
    const Event Next = Events.top();
    Events.pop();
    Now = Next.At;
    if (Now < End ||
        (Next.Kind != EventKind::Arrive && Next.Kind != EventKind::Noise)) {
      handle(Next);
    }
  }
  for (const EntryModel &Entry : Entries) {
    Result.Probes += Entry.Probes.Probes;
    Result.Ejections += Entry.Route.Counters.Ejections;
  }
  Result.RampAtEnd = Servers[0].Admission.Ramp;
  return Result;
}

void Simulation::handle(const Event &Next) {
  switch (Next.Kind) {
  case EventKind::Arrive:
    return arrive();
  case EventKind::Deliver:
    return deliver(Next.Subject);
  case EventKind::Finish:
    return finish(Next.Subject);
  case EventKind::Response:
    return receiveResponse(Next.Subject);
  case EventKind::Expire:
    return expireWaiting(Next.Subject);
  case EventKind::Deadline:
    return deadline(Next.Subject);
  case EventKind::Hedge:
    return hedge(Next.Subject);
  case EventKind::Probe:
    if (!Servers[Next.Server].Silent) {
      post(EventKind::ProbeResult, distance(Next.Subject, Next.Server),
           Next.Subject, Next.Server);
    }
    return;
  case EventKind::ProbeResult: {
    const LoadReport Report = reportOf(Servers[Next.Server]);
    EntryModel &Entry = Entries[Next.Subject];
    if (Plan.Algorithm) {
      addProbe(Entry.Baseline.Pool, Next.Server + 1, Report, Now);
    } else {
      onReport(Entry.Route, Next.Server + 1, Report, Now);
    }
    return;
  }
  case EventKind::Noise: {
    std::uniform_real_distribution<> Unit(0, 1);
    Servers[Next.Subject].Noise =
        Unit(Noise) < NoisyShare ? NoisyFactor : CalmFactor;
    return post(EventKind::Noise,
                fromSeconds(-std::log(1 - Unit(Noise)) * seconds(NoiseEvery)),
                Next.Subject);
  }
  case EventKind::FaultOn:
    return faultOn();
  case EventKind::FaultOff:
    Servers[Next.Subject].Down = false;
    return;
  }
}

void Simulation::faultOn() {
  ServerModel &Server = Servers[0];
  switch (Plan.Kind) {
  case Fault::Slow:
    Server.Slowness = 10;
    return;
  case Fault::FailFast:
    Server.Failing = true;
    return;
  case Fault::Silent:
    Server.Silent = true;
    return;
  case Fault::Lying:
    Server.Lying = true;
    return;
  case Fault::Restart:
    restart(Server);
    post(EventKind::FaultOff, DownTime, 0);
    return;
  case Fault::None:
  case Fault::AllCold:
    return;
  }
}

double capacityOf(const Deployment &Size) {
  const double Speed = NoisyShare / NoisyFactor + (1 - NoisyShare) / CalmFactor;
  const auto Slots = static_cast<double>(Size.Slots * Size.Zones.size());
  return Speed * Slots / seconds(Size.Service);
}

Measures run(const Scenario &Plan) { return Simulation(Plan).run(); }

} // namespace magnolia::policy::bench
