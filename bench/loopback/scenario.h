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

// What a fault does in the middle of a run, and what it is measured by.
class Scenario {
public:
  Scenario(Fleet &Run, ControlTool &Tool);
  virtual ~Scenario() = default;

  // Changes to the load that the fault is measured with.
  virtual void prepare(LoadPlan &) {}
  // After a third of the run.
  virtual void inject() {}
  // After two thirds.
  virtual void repair() {}
  // At the end, before the processes stop.
  [[nodiscard]] virtual std::vector<Measure>
  judge(std::span<const CallResult>, std::span<const BackendRecord>) {
    return {};
  }

protected:
  // Service that the fault concerns.
  [[nodiscard]] const std::string &service() const;
  // Requests that reached the zone's backend servers so far.
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
