#include "run.h"

#include "interrupt.h"
#include "load.h"
#include "node_metrics.h"
#include "scenario.h"
#include "verdicts.h"

#include <iostream>
#include <stdexcept>
#include <unistd.h>

namespace magnolia::bench {

namespace {

constexpr auto StartLimit = std::chrono::seconds(30);
// Range of the second number of a run's addresses, chosen by process id.
constexpr int FirstBlock = 64;
constexpr int Blocks = 64;

bool report(std::span<const Measure> Measures) {
  bool Held = true;
  for (const auto &Each : Measures) {
    print(std::cout, Each);
    Held = Held && Each.Held;
  }
  return Held;
}

} // namespace

int addressBlock() { return FirstBlock + getpid() % Blocks; }

std::vector<BackendRecord> fetchRecords(const Fleet &Run) {
  std::vector<BackendRecord> Records;
  for (const auto &Each : Run.Instances) {
    auto Record = fetchRecord(Each.Plan.Address, BackendPort, false);
    if (!Record) {
      throw std::runtime_error("no record from the backend server at " +
                               Each.Plan.Address);
    }
    Records.push_back(std::move(*Record));
  }
  return Records;
}

void startDeployment(Fleet &Run, ControlTool &Tool, const Options &Given) {
  Run.start();
  if (!Given.StaticRoutes) {
    Fleet::await(
        [&] { return Tool.revisions().size() == Run.Instances.size(); },
        StartLimit);
    if (!Tool.publish(1)) {
      throw std::runtime_error("the settings were not in effect after 20 s");
    }
  }
  const auto Entries = Run.entries();
  if (!Fleet::await([&] { return Run.ready(Entries); }, StartLimit)) {
    throw std::runtime_error("the deployment was not ready after 30 s");
  }
}

bool runLoopback(const Options &Given) {
  const int Block = addressBlock();
  const TemporaryFolder Folder(Given.Keep);
  Fleet Run(planDeployment(Given.Deployment, Block).value(), Given, Block,
            Folder.path());
  ControlTool Tool(Given.Build / "packages/ctl/magnoliactl", Run);
  const auto Script = makeScenario(Given, Run, Tool);
  startDeployment(Run, Tool, Given);

  LoadPlan Plan;
  Plan.Targets.Entries = Run.entries();
  Plan.Services = Run.plan().Services;
  Plan.CallsPerSecond = Given.CallsPerSecond;
  Plan.Seed = Given.Seed;
  Script->prepare(Plan);

  std::vector<Measure> Measures;
  const auto Start = Clock::now();
  const auto Third = std::chrono::milliseconds(Given.Seconds * 1000 / 3);
  Load Callers(Plan);
  pauseUntil(Start + Third / 2);
  if (!Given.StaticRoutes) {
    Measures.push_back(
        atMost("config_in_force_s", Tool.publish(2).value_or(20), 5));
  }
  pauseUntil(Start + Third);
  Script->inject();
  pauseUntil(Start + 2 * Third);
  Script->repair();
  pauseUntil(Start + 3 * Third);
  const auto Results = Callers.finish();

  const auto Records = fetchRecords(Run);
  const auto Add = [&Measures](const std::vector<Measure> &More) {
    Measures.insert(Measures.end(), More.begin(), More.end());
  };
  Add(judgeCalls(Results, mergeRuns(Records)));
  Add(judgeRecords(Records));
  // Includes the time until now because the nodes probe until their metrics are
  // read.
  const auto Metrics = fetchMetrics(Run);
  Add(judgeMeasuring(
      Metrics, {.Services = static_cast<double>(Run.plan().Services.size())},
      std::chrono::duration<double>(Clock::now() - Start).count()));
  Add(Script->judge(Results, Records));
  return report(Measures);
}

} // namespace magnolia::bench
