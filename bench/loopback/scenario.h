#ifndef LOOPBACK_SCENARIO_H
#define LOOPBACK_SCENARIO_H

#include "backend_record.h"
#include "call.h"
#include "control_tool.h"
#include "fleet.h"
#include "load.h"
#include "measure.h"
#include "options.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace magnolia::bench {

// Injects a fault in the middle of a run and evaluates its effects.
class Scenario {
public:
  Scenario(Fleet &Run, ControlTool &Tool);
  virtual ~Scenario() = default;

  // Adapts the load to the fault.
  virtual void prepare(LoadPlan &) {}
  // Called after one third of the run.
  virtual void inject() {}
  // Called after two thirds of the run.
  virtual void repair() {}
  // Called at the end, before the processes stop.
  [[nodiscard]] virtual std::vector<Measure>
  judge(std::span<const CallResult>, std::span<const BackendRecord>) {
    return {};
  }

protected:
  // Service that the fault affects.
  [[nodiscard]] const std::string &service() const;
  // Number of requests that have reached the zone's backend servers.
  [[nodiscard]] double zoneRequests(const std::string &Zone) const;
  // Sets a fault on the first backend server of every service.
  void faultOnFirst(const std::string &Json);

  Fleet &Run;
  ControlTool &Tool;
};

[[nodiscard]] std::unique_ptr<Scenario>
makeScenario(const Options &Given, Fleet &Run, ControlTool &Tool);

} // namespace magnolia::bench

#endif
