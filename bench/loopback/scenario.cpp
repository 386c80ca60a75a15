#include "scenario.h"

#include "interrupt.h"
#include "verdicts.h"

#include <csignal>
#include <set>

namespace magnolia::bench {

namespace {

// Bound of "no new work" after a zone or a backend server leaves.
constexpr auto LeaveBound = std::chrono::seconds(3);

std::uint64_t requestsOf(const Instance &Each) {
  const auto Record = fetchRecord(Each.Plan.Address, BackendPort, true);
  return Record ? Record->Requests : 0;
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
    Plan.Legs = {Leg::System, Leg::RoundRobin};
  }
  void inject() override {
    setFault(Run.backends(service(), "1").front()->Plan.Address, BackendPort,
             R"({"mode":"slow","factor":10})");
    From = Clock::now();
  }
  std::vector<Measure> judge(std::span<const CallResult> Results,
                             std::span<const BackendRecord>) override {
    return judgeTail(dueAfter(Results, From), service());
  }

private:
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
      Requests += static_cast<double>(requestsOf(*Each));
    }
    return {figure("cold_backend_requests", Requests)};
  }

private:
  std::vector<Instance *> New;
};

class ZoneOutScenario : public Scenario {
public:
  using Scenario::Scenario;
  void inject() override {
    Zone = Run.plan().Zones.back();
    Tool.run({"zone", "out", Zone});
    const auto Accepted = Clock::now();
    pauseUntil(Accepted + LeaveBound);
    AtBound = zoneRequests(Zone);
  }
  void repair() override {
    AtReturn = zoneRequests(Zone);
    Tool.run({"zone", "in", Zone});
  }
  std::vector<Measure> judge(std::span<const CallResult>,
                             std::span<const BackendRecord>) override {
    return {atMost("zone_out_work_after_3s",
                   static_cast<double>(AtReturn - AtBound), 0),
            figure("zone_work_after_return",
                   static_cast<double>(zoneRequests(Zone) - AtReturn))};
  }

private:
  std::string Zone;
  std::uint64_t AtBound = 0;
  std::uint64_t AtReturn = 0;
};

// A move to a new version that is bad in the given way.
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
    Tool.run({"move", "start", service(), "--from", "1", "--to", "2",
              "--deadline", "+30m"});
  }
  std::vector<Measure> judge(std::span<const CallResult> Results,
                             std::span<const BackendRecord> Records) override {
    return judgeBadVersion(Results, Records, service(), "2");
  }

private:
  std::string Json;
};

// The store goes away; an instance that starts meanwhile learns from peers.
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
    InForce = Tool.publish(7);
  }
  std::vector<Measure> judge(std::span<const CallResult>,
                             std::span<const BackendRecord>) override {
    return {figure("new_node_served_during_outage", Learned ? 1 : 0),
            figure("new_node_start_s", Seconds),
            atMost("config_in_force_after_outage_s", InForce.value_or(20), 5)};
  }

private:
  bool Learned = false;
  double Seconds = 0;
  std::optional<double> InForce;
};

// One backend server of each service takes a fault of the stand-in.
class BackendFaultScenario : public Scenario {
public:
  BackendFaultScenario(Fleet &Fleet, ControlTool &Control,
                       std::string FaultJson)
      : Scenario(Fleet, Control), Json(std::move(FaultJson)) {}
  void inject() override { faultOnFirst(Json); }

private:
  std::string Json;
};

// No fault: added latency, processor time and the graceful stop of an entry
// node that is a sidecar too.
class NoFaultScenario : public Scenario {
public:
  using Scenario::Scenario;
  void prepare(LoadPlan &Plan) override {
    const auto &Backend = Run.backends(service(), "1").front()->Plan;
    Plan.Targets.Direct = {.Address = Backend.Address, .Port = BackendPort};
    Plan.Targets.Relays = Run.startRelays(Plan.Targets.Direct);
    Plan.Legs = {Leg::System, Leg::Direct, Leg::Relays};
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
    stopEntry();
  }
  std::vector<Measure> judge(std::span<const CallResult> Results,
                             std::span<const BackendRecord>) override {
    std::vector<CallResult> Window;
    double Own = 0;
    double Relayed = 0;
    double Interrupted = 0;
    for (const auto &Result : Results) {
      const bool ByRelays = Result.Planned.Way == Leg::Relays;
      const bool BySystem = Result.Planned.Way == Leg::System;
      if (Result.Due >= From && Result.Due < Until) {
        Own += BySystem ? 1 : 0;
        Relayed += ByRelays ? 1 : 0;
        if (Result.Planned.Service == service()) {
          Window.push_back(Result);
        }
      } else if (Result.Due >= Until && BySystem) {
        Interrupted += Result.End == CallEnd::Broken ? 1 : 0;
      }
    }
    auto Measures = judgeLatency(Window);
    Measures.push_back(
        figure("processor_us_per_call",
               static_cast<double>(NodeTime.count()) / 1000 / Own));
    Measures.push_back(
        figure("processor_us_per_call_floor",
               static_cast<double>(RelayTime.count()) / 1000 / Relayed));
    Measures.push_back(figure("graceful_stop_s", StopSeconds));
    Measures.push_back(atMost("graceful_stop_exit_status", StopStatus, 0));
    Measures.push_back(atMost("graceful_stop_interrupted", Interrupted, 0));
    Measures.push_back(atMost("leaving_backend_work_after_3s",
                              static_cast<double>(LateWork), 0));
    return Measures;
  }

private:
  void stopEntry() {
    const auto Entry = Run.entries().back().Address;
    for (auto &Each : Run.Instances) {
      if (Each.Plan.Address != Entry) {
        continue;
      }
      const auto Start = Clock::now();
      Each.Node->signal(SIGTERM);
      const auto Status = Each.Node->wait(std::chrono::seconds(15));
      StopSeconds = std::chrono::duration<double>(Clock::now() - Start).count();
      StopStatus = Status.value_or(124);
      pauseUntil(Start + LeaveBound);
      const auto AtBound = requestsOf(Each);
      pauseFor(std::chrono::seconds(1));
      LateWork = requestsOf(Each) - AtBound;
    }
  }

  Clock::time_point From;
  Clock::time_point Until;
  std::chrono::nanoseconds NodeTime{0};
  std::chrono::nanoseconds RelayTime{0};
  double StopSeconds = 0;
  double StopStatus = 0;
  std::uint64_t LateWork = 0;
};

} // namespace

Scenario::Scenario(Fleet &Fleet, ControlTool &Control)
    : Run(Fleet), Tool(Control) {}

const std::string &Scenario::service() const {
  return Run.plan().Services.front();
}

std::uint64_t Scenario::zoneRequests(const std::string &Zone) const {
  std::uint64_t Sum = 0;
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
