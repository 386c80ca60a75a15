#include "scenario.h"

#include "graceful_stop.h"
#include "interrupt.h"
#include "verdicts.h"

#include <utility>

namespace magnolia::bench {

namespace {

// Time after which a leaving zone or backend server gets no new requests.
constexpr auto LeaveBound = std::chrono::seconds(3);

double requestsOf(const Instance &Each) {
  const auto Record = fetchRecord(Each.Plan.Address, BackendPort, true);
  return Record ? static_cast<double>(Record->Requests) : 0;
}

std::vector<CallResult> dueAfter(std::span<const CallResult> Results,
                                 Clock::time_point From) {
  std::vector<CallResult> Late;
  for (const auto &Result : Results) {
    if (Result.Due >= From) {
      Late.push_back(Result);
    }
  }
  return Late;
}

// One backend server in four becomes ten times slower.
class SlowScenario : public Scenario {
public:
  using Scenario::Scenario;
  void prepare(LoadPlan &Plan) override {
    Plan.RequestPaths = {RequestPath::System, RequestPath::RoundRobin};
    Plan.PathsOfFirstOnly = true;
    const auto Servers = Run.backends(service(), "1").size();
    for (std::size_t Number = 0; Number < Servers; ++Number) {
      Plan.Targets.RoundRobin.push_back(Run.startBackendWithoutNode(service()));
    }
    SlowBackend = Plan.Targets.RoundRobin.front();
  }
  void inject() override {
    const std::string Slow = R"({"mode":"slow","factor":10})";
    setFault(Run.backends(service(), "1").front()->Plan.Address, BackendPort,
             Slow);
    setFault(SlowBackend.Address, SlowBackend.Port, Slow);
    From = Clock::now();
  }
  std::vector<Measure> judge(std::span<const CallResult> Results,
                             std::span<const BackendRecord>) override {
    return judgeTail(dueAfter(Results, From), service());
  }

private:
  Endpoint SlowBackend;
  Clock::time_point From;
};

// One new backend server of every service joins under load.
class ColdScenario : public Scenario {
public:
  using Scenario::Scenario;
  void inject() override {
    std::size_t Zone = 0;
    for (const auto &Service : Run.plan().Services) {
      New.push_back(&Run.add(Zone++ % Run.plan().Zones.size(), Service, "1"));
    }
  }
  std::vector<Measure> judge(std::span<const CallResult>,
                             std::span<const BackendRecord>) override {
    double Requests = 0;
    for (const auto *Each : New) {
      Requests += requestsOf(*Each);
    }
    return {required("cold_backend_requests", Requests, Requests > 0)};
  }

private:
  std::vector<Instance *> New;
};

class ZoneOutScenario : public Scenario {
public:
  using Scenario::Scenario;
  void inject() override {
    Zone = Run.plan().Zones.back();
    Before = zoneRequests(Zone);
    // The bound counts from the acceptance of the change. The tool starts a
    // little earlier and may end later because it waits.
    const auto Start = Clock::now();
    Tool.change({"zone", "out", Zone});
    pauseUntil(Start + LeaveBound);
    AtBound = zoneRequests(Zone);
  }
  void repair() override {
    AtReturn = zoneRequests(Zone);
    Tool.change({"zone", "in", Zone});
  }
  std::vector<Measure> judge(std::span<const CallResult>,
                             std::span<const BackendRecord>) override {
    const double Returned = zoneRequests(Zone) - AtReturn;
    return {required("zone_work_before", Before, Before > 0),
            atMost("zone_out_work_after_3s", AtReturn - AtBound, 0),
            required("zone_work_after_return", Returned, Returned > 0)};
  }

private:
  std::string Zone;
  double Before = 0;
  double AtBound = 0;
  double AtReturn = 0;
};

// Starts a rollout of a new version with the given fault.
class BadVersionScenario : public Scenario {
public:
  BadVersionScenario(Fleet &Fleet, ControlTool &Control, std::string FaultJson)
      : Scenario(Fleet, Control), Json(std::move(FaultJson)) {}
  void inject() override {
    for (std::size_t Zone = 0; Zone < 2; ++Zone) {
      const auto &Added = Run.add(Zone, service(), "2");
      Fleet::await(
          [&Added] {
            return fetchRecord(Added.Plan.Address, BackendPort, true)
                .has_value();
          },
          std::chrono::seconds(5));
      setFault(Added.Plan.Address, BackendPort, Json);
    }
    Tool.change({"move", "start", service(), "--from", "1", "--to", "2",
                 "--deadline", "+30m"});
  }
  std::vector<Measure> judge(std::span<const CallResult> Results,
                             std::span<const BackendRecord> Records) override {
    return judgeBadVersion(Results, Records, service(), "2");
  }

private:
  std::string Json;
};

// The store is down. An instance that starts meanwhile gets the configuration
// from its peers.
class StoreDownScenario : public Scenario {
public:
  using Scenario::Scenario;
  void inject() override {
    setFault(Run.plan().StoreAddress, StorePort, R"({"mode":"down"})");
    const auto &New = Run.add(0, service(), "1");
    const auto Started = Clock::now();
    const std::vector<Endpoint> Entry{
        {.Address = New.Plan.Address, .Port = HttpPort}};
    Learned =
        Fleet::await([&] { return Run.ready(Entry); }, std::chrono::seconds(5));
    Seconds = std::chrono::duration<double>(Clock::now() - Started).count();
  }
  void repair() override {
    setFault(Run.plan().StoreAddress, StorePort, R"({"mode":"none"})");
    InEffect = Tool.publish(3);
  }
  std::vector<Measure> judge(std::span<const CallResult>,
                             std::span<const BackendRecord>) override {
    return {figure("new_node_served_during_outage", Learned ? 1 : 0),
            figure("new_node_start_s", Seconds),
            atMost("config_in_force_after_outage_s", InEffect.value_or(20), 5)};
  }

private:
  bool Learned = false;
  double Seconds = 0;
  std::optional<double> InEffect;
};

// One backend server of each service has a fault of the stand-in.
class BackendFaultScenario : public Scenario {
public:
  BackendFaultScenario(Fleet &Fleet, ControlTool &Control,
                       std::string FaultJson)
      : Scenario(Fleet, Control), Json(std::move(FaultJson)) {}
  void inject() override { faultOnFirst(Json); }

private:
  std::string Json;
};

// No fault. Measures added latency, processor time and the graceful stop of an
// entry node that is also a sidecar.
class NoFaultScenario : public Scenario {
public:
  using Scenario::Scenario;
  void prepare(LoadPlan &Plan) override {
    Plan.Targets.Direct = Run.startBackendWithoutNode(service());
    Plan.Targets.Relays = Run.startRelays(Plan.Targets.Direct);
    Plan.RequestPaths = {RequestPath::System, RequestPath::Direct,
                         RequestPath::System, RequestPath::Relays};
  }
  void inject() override {
    From = Clock::now();
    NodeTime = Run.nodeTime();
    RelayTime = Run.relayTime();
  }
  void repair() override {
    Until = Clock::now();
    NodeTime = Run.nodeTime() - NodeTime;
    RelayTime = Run.relayTime() - RelayTime;
    Stop.perform(Run);
  }
  std::vector<Measure> judge(std::span<const CallResult> Results,
                             std::span<const BackendRecord>) override {
    std::vector<CallResult> Window;
    double Own = 0;
    double Relayed = 0;
    for (const auto &Result : Results) {
      const bool ByRelays = Result.Planned.Via == RequestPath::Relays;
      const bool BySystem = Result.Planned.Via == RequestPath::System;
      if (Result.Due >= From && Result.Due < Until) {
        Own += BySystem ? 1 : 0;
        Relayed += ByRelays ? 1 : 0;
        Window.push_back(Result);
      }
    }
    auto Measures = judgeLatency(Window);
    Measures.push_back(
        figure("processor_us_per_call",
               static_cast<double>(NodeTime.count()) / 1000 / Own));
    Measures.push_back(
        figure("processor_us_per_call_floor",
               static_cast<double>(RelayTime.count()) / 1000 / Relayed));
    const auto Stopped = Stop.judge(Results);
    Measures.insert(Measures.end(), Stopped.begin(), Stopped.end());
    return Measures;
  }

private:
  Clock::time_point From;
  Clock::time_point Until;
  std::chrono::nanoseconds NodeTime{0};
  std::chrono::nanoseconds RelayTime{0};
  GracefulStop Stop;
};

} // namespace

Scenario::Scenario(Fleet &Fleet, ControlTool &Control)
    : Run(Fleet), Tool(Control) {}

const std::string &Scenario::service() const {
  return Run.plan().Services.front();
}

double Scenario::zoneRequests(const std::string &Zone) const {
  double Sum = 0;
  for (const auto &Each : Run.Instances) {
    if (Each.Plan.AvailabilityZone == Zone) {
      Sum += requestsOf(Each);
    }
  }
  return Sum;
}

void Scenario::faultOnFirst(const std::string &Json) {
  for (const auto &Service : Run.plan().Services) {
    setFault(Run.backends(Service, "1").front()->Plan.Address, BackendPort,
             Json);
  }
}

std::unique_ptr<Scenario> makeScenario(const Options &Given, Fleet &Run,
                                       ControlTool &Tool) {
  switch (Given.Injected) {
  case Fault::Slow:
    return std::make_unique<SlowScenario>(Run, Tool);
  case Fault::Cold:
    return std::make_unique<ColdScenario>(Run, Tool);
  case Fault::ZoneOut:
    return std::make_unique<ZoneOutScenario>(Run, Tool);
  case Fault::BadVersion:
    return std::make_unique<BadVersionScenario>(Run, Tool,
                                                R"({"mode":"fail"})");
  case Fault::LateBad:
    return std::make_unique<BadVersionScenario>(
        Run, Tool, R"({"mode":"late","after_requests":15})");
  case Fault::OneRoute:
    return std::make_unique<BadVersionScenario>(
        Run, Tool, R"({"mode":"one-route","route":"/stock"})");
  case Fault::StoreDown:
    return std::make_unique<StoreDownScenario>(Run, Tool);
  case Fault::Silent:
    return std::make_unique<BackendFaultScenario>(Run, Tool,
                                                  R"({"mode":"silent"})");
  case Fault::Restart:
    return std::make_unique<BackendFaultScenario>(Run, Tool,
                                                  R"({"mode":"restart"})");
  case Fault::None:
    break;
  }
  return std::make_unique<NoFaultScenario>(Run, Tool);
}

} // namespace magnolia::bench
