#include "experiment.h"

#include "scenario.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace magnolia::policy::bench {

namespace {

constexpr double P99 = 0.99;
// Detection is expected within tens of milliseconds.
constexpr double DetectBoundMs = 100;
// Three failures and the requests in flight when the third one returns.
constexpr double ExposedBound = 10;
// Maximum share of the attempts that are trial requests to a faulty server.
constexpr double LateBound = 0.005;

// Prints measures and records whether all bounds were met.
struct Printer {
  bool Held = true;
  std::string Deployment;
  std::uint64_t Seed = 0;

  void line(std::string_view Measure, double Value, double Bound, bool Ok) {
    Held &= Ok;
    std::cout << nlohmann::json{{"measure", Measure},
                                {"deployment", Deployment},
                                {"seed", Seed},
                                {"value", Value},
                                {"bound", Bound},
                                {"held", Ok}}
              << '\n';
  }
  void atMost(std::string_view Measure, double Value, double Bound) {
    line(Measure, Value, Bound, Value <= Bound);
  }
  void atLeast(std::string_view Measure, double Value, double Bound) {
    line(Measure, Value, Bound, Value >= Bound);
  }
};

constexpr std::array<std::pair<std::string_view, Baseline>, 4> Baselines = {
    {{"random", Baseline::Random},
     {"round_robin", Baseline::RoundRobin},
     {"least_in_flight", Baseline::LeastInFlight},
     {"pooled_probes", Baseline::PooledProbes}}};

double p99(const Measures &Found) { return quantile(Found.Latencies, P99); }

// 99th percentiles and errors of the baselines with the same load and seed.
struct BaselineResult {
  double RoundRobin = 0;
  double Best = 0;
  double FewestErrors = 0;
};

BaselineResult runBaselines(Printer &Out, Scenario Plan,
                            const std::string &Prefix) {
  BaselineResult Result{.Best = 1e9, .FewestErrors = 1e9};
  for (const auto &[Name, Kind] : Baselines) {
    Plan.Algorithm = Kind;
    const Measures Found = run(Plan);
    const double Value = p99(Found);
    Out.line(Prefix + "_p99_ms_" + std::string(Name), Value, 0, true);
    Out.line(Prefix + "_errors_" + std::string(Name),
             static_cast<double>(Found.Errors), 0, true);
    Result.Best = std::min(Result.Best, Value);
    Result.FewestErrors =
        std::min(Result.FewestErrors, static_cast<double>(Found.Errors));
    if (Kind == Baseline::RoundRobin) {
      Result.RoundRobin = Value;
    }
  }
  return Result;
}

void budgetLines(Printer &Out, const Measures &Found,
                 const std::string &Prefix) {
  Out.atMost(Prefix + "_probes_over_budget", std::max(0.0, Found.ProbeExcess),
             0);
  Out.atLeast(Prefix + "_min_eligible", Found.MinEligible, 0.5);
}

// Prints the errors that callers saw, by kind.
void errorLines(Printer &Out, const Measures &Found,
                const std::string &Prefix) {
  for (const ErrorEntry &Entry : errorTable()) {
    const auto Count = Found.ErrorKinds[static_cast<std::size_t>(Entry.Kind)];
    if (Count > 0) {
      Out.line(Prefix + "_errors_" + std::string(Entry.Name),
               static_cast<double>(Count), 0, true);
    }
  }
}

void detectLines(Printer &Out, const Measures &Found,
                 const std::string &Prefix) {
  // An entry node that rarely uses the server sees too few failures to detect
  // them in time. For fast failures, the attempts per entry node are bounded
  // instead.
  if (Prefix == "fail_fast") {
    Out.atMost(Prefix + "_exposed", Found.Exposed, ExposedBound);
    Out.line(Prefix + "_detect_ms", Found.DetectMs, DetectBoundMs, true);
  } else {
    Out.line(Prefix + "_exposed", Found.Exposed, 0, true);
    Out.atMost(Prefix + "_detect_ms", Found.DetectMs, DetectBoundMs);
  }
  Out.atMost(Prefix + "_late_share",
             static_cast<double>(Found.LateAttempts) /
                 static_cast<double>(Found.Attempts),
             LateBound);
  errorLines(Out, Found, Prefix);
  Out.line(Prefix + "_ejections", static_cast<double>(Found.Ejections), 0,
           true);
  Out.line(Prefix + "_false_ejections",
           static_cast<double>(Found.FalseEjections), 0, true);
}

void routing(Printer &Out, const Scenario &Base) {
  Scenario Plan = Base;
  const Measures Ours = run(Plan);
  const BaselineResult Others = runBaselines(Out, Plan, "routing");
  Out.atMost("routing_p99_ms", p99(Ours), Others.Best);
  Out.line("routing_false_ejections", static_cast<double>(Ours.FalseEjections),
           0, true);
  Out.line("routing_p50_ms", quantile(Ours.Latencies, 0.5), 0, true);
  budgetLines(Out, Ours, "routing");
  Plan.Kind = Fault::Lying;
  const Measures FalseLoad = run(Plan);
  const BaselineResult FalseLoadOthers = runBaselines(Out, Plan, "lying");
  Out.atMost("lying_p99_ms", p99(FalseLoad), FalseLoadOthers.RoundRobin);
  Out.atMost("lying_error_share",
             static_cast<double>(FalseLoad.Errors) /
                 static_cast<double>(FalseLoad.Requests),
             0.001);
}

void slow(Printer &Out, const Scenario &Base) {
  Scenario Plan = Base;
  Plan.Kind = Fault::Slow;
  const Measures Ours = run(Plan);
  const BaselineResult Others = runBaselines(Out, Plan, "slow");
  Out.atMost("slow_p99_ms", p99(Ours), Others.Best);
  Out.atMost("slow_p99_ms_half_round_robin", p99(Ours), Others.RoundRobin / 2);
  detectLines(Out, Ours, "slow");
  budgetLines(Out, Ours, "slow");
}

void coldStart(Printer &Out, const Scenario &Base) {
  Scenario Plan = Base;
  Plan.Length = std::chrono::seconds(10);
  Plan.Kind = Fault::Restart;
  const Measures Restarted = run(Plan);
  Out.atMost("restart_overloads", static_cast<double>(Restarted.Overloads), 0);
  Out.atLeast("restart_ramp_at_end", Restarted.RampAtEnd, Plan.Size.Slots);
  Out.line("restart_p99_ms", p99(Restarted), 0, true);
  Out.line("restart_errors", static_cast<double>(Restarted.Errors), 0, true);
  budgetLines(Out, Restarted, "restart");
  Plan.Kind = Fault::AllCold;
  Plan.FaultAt = Duration{0};
  Plan.Shed = true;
  const Measures Cold = run(Plan);
  Out.atMost("all_cold_overloads", static_cast<double>(Cold.Overloads), 0);
  Out.atLeast("all_cold_ramp_at_end", Cold.RampAtEnd, Plan.Size.Slots);
}

void overload(Printer &Out, const Scenario &Base) {
  Scenario Plan = Base;
  Plan.Load = 2;
  Plan.Shed = true;
  Plan.Deadline = std::chrono::milliseconds(100);
  const Measures Found = run(Plan);
  const double Seconds =
      std::chrono::duration<double>(Plan.Length - Plan.FaultAt).count();
  Out.atLeast("overload_goodput_share",
              static_cast<double>(Found.Good) / Seconds / capacityOf(Plan.Size),
              0.9);
  Out.line("overload_p99_ms", p99(Found), 0, true);
  Out.line("overload_shed_share",
           static_cast<double>(Found.Shed) /
               static_cast<double>(Found.Requests),
           0, true);
  Out.atMost("overload_server_overloads", static_cast<double>(Found.Overloads),
             0);
  budgetLines(Out, Found, "overload");
}

void faults(Printer &Out, const Scenario &Base) {
  Scenario Plan = Base;
  Plan.Hedge = true;
  Plan.Length = std::chrono::seconds(10);
  for (const auto &[Name, Kind] :
       {std::pair{"silent", Fault::Silent}, {"fail_fast", Fault::FailFast}}) {
    const std::string Prefix = Name;
    Plan.Kind = Kind;
    Plan.Algorithm.reset();
    const Measures Found = run(Plan);
    detectLines(Out, Found, Prefix);
    Out.line(Prefix + "_p99_ms", p99(Found), 0, true);
    budgetLines(Out, Found, Prefix);
    const BaselineResult Others = runBaselines(Out, Plan, Prefix);
    Out.line(Prefix + "_errors", static_cast<double>(Found.Errors),
             Others.FewestErrors, true);
  }
}

const std::map<std::string_view,
               std::function<void(Printer &, const Scenario &)>>
    Experiments = {{"routing", routing},
                   {"cold-start", coldStart},
                   {"overload", overload},
                   {"slow", slow},
                   {"faults", faults}};

} // namespace

int runExperiment(std::string_view Name, std::uint64_t FirstSeed,
                  std::uint64_t LastSeed) {
  const auto Found = Experiments.find(Name);
  if (Found == Experiments.end()) {
    std::cerr << "unknown experiment " << Name << '\n';
    return 2;
  }
  Printer Out;
  for (const Deployment &Size : deployments()) {
    Out.Deployment = Size.Name;
    for (Out.Seed = FirstSeed; Out.Seed <= LastSeed; ++Out.Seed) {
      Found->second(Out, {.Size = Size, .Algorithm = {}, .Seed = Out.Seed});
    }
  }
  return Out.Held ? 0 : 1;
}

} // namespace magnolia::policy::bench
