#ifndef BACKEND_FAULT_PLAN_H
#define BACKEND_FAULT_PLAN_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::standin {

enum class FaultMode : std::uint8_t {
  None,
  // Every run takes Factor times as long.
  Slow,
  // Every run ends with status 500 after its service time.
  Fail,
  // Every request gets status 500 at once.
  FailFast,
  // Connections that are open now never answer again; new ones work.
  Silent,
  // The port refuses connections for DownMs, then the cold start begins again.
  Restart,
  // Bad only after AfterRequests requests, only on Route, or only while half
  // of the slots are taken: slows where Factor is above one, else fails.
  Late,
  OneRoute,
  UnderLoad,
};

// Fault that POST /fault sets.
struct FaultPlan {
  FaultMode Mode = FaultMode::None;
  double Factor = 1.0;
  std::string Route;
  std::uint64_t AfterRequests = 0;
  std::uint32_t DownMs = 300;
  // Health and load reports claim an idle, healthy server.
  bool Lie = false;
};

// What a fault depends on.
struct RequestFacts {
  std::string_view Path;
  // Requests since the fault was set.
  std::uint64_t Requests = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t Slots = 12;
};

// What a fault does to one request.
struct FaultEffect {
  double Factor = 1.0;
  bool Fails = false;
  bool AtOnce = false;
};

[[nodiscard]] FaultEffect effect(const FaultPlan &Plan,
                                 const RequestFacts &Facts);

// Plan from the JSON body of POST /fault; none where it is malformed.
[[nodiscard]] std::optional<FaultPlan> parseFaultPlan(const std::string &Json);

} // namespace magnolia::standin

#endif
