#include "demo.h"

#include "graceful_stop.h"
#include "interrupt.h"
#include "load.h"
#include "node_metrics.h"
#include "run.h"
#include "scenario.h"
#include "verdicts.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdio>
#include <iostream>
#include <iterator>
#include <utility>

namespace magnolia::bench {

namespace {

constexpr auto RolloutDeadline = std::chrono::seconds(45);
constexpr auto RollBackLimit = std::chrono::seconds(30);
constexpr const char *GoodVersion = "3";

// Measure of a step and the guarantee of the design page that it checks.
struct Row {
  std::string Step;
  std::string Promise;
  Measure Measured;
};

// Guarantee that each measure checks. Other measures are not in the table.
struct Promised {
  std::string_view Measure;
  std::string_view Promise;
};

constexpr std::array<Promised, 15> Promises = {{
    {"config_in_force_s", "P10"},
    {"zone_work_before", "P3"},
    {"zone_out_work_after_3s", "P3"},
    {"zone_work_after_return", "P3"},
    {"bad_version_fault_seen", "P4"},
    {"bad_version_share", "P4"},
    {"bad_version_last_work_after_fault_s", "P4"},
    {"graceful_stop_interrupted", "P9"},
    {"leaving_backend_work_after_3s", "P8"},
    {"responses_not_whole_or_not_matched", "P5"},
    {"non_idempotent_runs_max", "P7"},
    {"not_run_answers_that_ran", "P6"},
    {"overloads", "P2"},
    {"probes_over_budget", "P1"},
    {"calls_answered_share", "P12"},
}};

constexpr std::array<std::string_view, 6> Steps = {
    "publish settings",   "zone leaves and returns", "bad version rolled back",
    "good version moved", "planned stop of a node",  "whole demo"};

class Demo {
public:
  explicit Demo(const Options &Options)
      : Given(Options), Folder(Options.Keep),
        Run(planDeployment(Options.Deployment, addressBlock()).value(), Options,
            addressBlock(), Folder.path()),
        Tool(Options.Build / "packages/ctl/magnoliactl", Run) {}

  bool play() {
    startDeployment(Run, Tool, Given);
    LoadPlan Plan;
    Plan.Targets.Entries = Run.entries();
    Plan.Services = Run.plan().Services;
    Plan.CallsPerSecond = Given.CallsPerSecond;
    Plan.Seed = Given.Seed;
    const auto Start = Clock::now();
    Load Callers(Plan);
    publish();
    pauseFor(std::chrono::seconds(4));
    zone();
    rollBack();
    move();
    Stop.perform(Run);
    const auto Results = Callers.finish();
    judge(Results, Start);
    return print();
  }

private:
  void add(const std::string &Step, const std::vector<Measure> &Measures) {
    for (const auto &Each : Measures) {
      for (const auto &[Name, Promise] : Promises) {
        if (Name == Each.Name) {
          Rows.push_back({Step, std::string(Promise), Each});
        }
      }
    }
  }

  std::unique_ptr<Scenario> scenario(Fault Injected) {
    auto Part = Given;
    Part.Injected = Injected;
    return makeScenario(Part, Run, Tool);
  }

  void publish() {
    add("publish settings",
        {atMost("config_in_force_s", Tool.publish(2).value_or(20), 5)});
  }

  void zone() {
    const auto Leaving = scenario(Fault::ZoneOut);
    Leaving->inject();
    pauseFor(std::chrono::seconds(2));
    Leaving->repair();
    pauseFor(std::chrono::seconds(4));
    add("zone leaves and returns", Leaving->judge({}, {}));
  }

  // Waits until the rollout of the first service ends. Returns its last phase.
  std::string awaitEnd(std::chrono::seconds Limit) {
    std::string Phase;
    Fleet::await(
        [&] {
          Phase = Tool.rolloutPhase(Run.plan().Services.front());
          return Phase == "done" || Phase == "taken_back";
        },
        Limit);
    return Phase;
  }

  // The results of the callers are evaluated at the end of the demo.
  void rollBack() {
    Bad = scenario(Fault::BadVersion);
    const auto Start = Clock::now();
    Bad->inject();
    const auto Phase = awaitEnd(RollBackLimit);
    addRollout("bad version rolled back", Phase == "taken_back", Start,
               RollBackLimit);
    pauseFor(std::chrono::seconds(2));
    AfterRollBack = fetchRecords(Run);
  }

  void move() {
    const auto &Service = Run.plan().Services.front();
    for (std::size_t Zone = 0; Zone < Run.plan().Zones.size(); ++Zone) {
      Run.add(Zone, Service, GoodVersion);
    }
    Fleet::await(
        [&] { return Tool.revisions().size() == Run.Instances.size(); },
        std::chrono::seconds(10));
    const auto Start = Clock::now();
    Tool.change({"move", "start", Service, "--from", "1", "--to", GoodVersion,
                 "--deadline",
                 '+' + std::to_string(RolloutDeadline.count()) + 's'});
    addRollout("good version moved", awaitEnd(RolloutDeadline) == "done", Start,
               RolloutDeadline);
  }

  void addRollout(const std::string &Step, bool Ended, Clock::time_point Start,
                  std::chrono::seconds Limit) {
    auto Measured =
        atMost("move_end_s",
               std::chrono::duration<double>(Clock::now() - Start).count(),
               static_cast<double>(Limit.count()));
    Measured.Held = Measured.Held && Ended;
    Rows.push_back({Step, "P11", Measured});
  }

  void judge(const std::vector<CallResult> &Results, Clock::time_point Start) {
    add("bad version rolled back", Bad->judge(Results, AfterRollBack));
    add("planned stop of a node", Stop.judge(Results));
    const auto Records = fetchRecords(Run);
    const std::string All = "whole demo";
    add(All, judgeCalls(Results, mergeRuns(Records)));
    add(All, judgeRecords(Records));
    const auto Services = static_cast<double>(Run.plan().Services.size());
    // Includes the time until now because the nodes probe until their metrics
    // are read.
    const auto Metrics = fetchMetrics(Run);
    const std::chrono::duration<double> Lasted = Clock::now() - Start;
    add(All, judgeMeasuring(Metrics, {.Services = Services}, Lasted.count()));
    double Answered = 0;
    for (const auto &Result : Results) {
      Answered += Result.Status == 200 ? 1 : 0;
    }
    add(All, {figure("calls_answered_share",
                     Answered / static_cast<double>(Results.size()))});
  }

  [[nodiscard]] std::ptrdiff_t place(const std::string &Step) const {
    return std::find(Steps.begin(), Steps.end(), Step) - Steps.begin();
  }

  bool print() {
    constexpr const char *Line = "%-25s %-7s %-36s %10s %8s %s\n";
    bool Held = true;
    // Measures evaluated at the end are listed under their step.
    std::stable_sort(Rows.begin(), Rows.end(),
                     [this](const Row &Left, const Row &Right) {
                       return place(Left.Step) < place(Right.Step);
                     });
    std::printf(Line, "step", "promise", "measure", "value", "bound", "held");
    for (const auto &[Step, Promise, Measured] : Rows) {
      std::array<char, 32> Value{};
      std::array<char, 32> Bound{};
      std::snprintf(Value.data(), Value.size(), "%.4g", Measured.Value);
      std::snprintf(Bound.data(), Bound.size(), "%.4g",
                    Measured.Bound.value_or(0));
      std::printf(Line, Step.c_str(), Promise.c_str(), Measured.Name.c_str(),
                  Value.data(), Measured.Bound ? Bound.data() : "-",
                  Measured.Held ? "yes" : "NO");
      Held = Held && Measured.Held;
    }
    return Held;
  }

  const Options &Given;
  TemporaryFolder Folder;
  Fleet Run;
  ControlTool Tool;
  GracefulStop Stop;
  std::unique_ptr<Scenario> Bad;
  std::vector<BackendRecord> AfterRollBack;
  std::vector<Row> Rows;
};

} // namespace

bool runDemo(const Options &Given) { return Demo(Given).play(); }

} // namespace magnolia::bench
