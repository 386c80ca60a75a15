#ifndef BACKEND_FAULT_PLAN_H
#define BACKEND_FAULT_PLAN_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::standin {

enum class FaultMode : std::uint8_t {
  None,
  // Every request takes Factor times as long.
  Slow,
  // Every request fails with status 500 after its service time.
  Fail,
  // Every request fails with status 500 immediately.
  FailFast,
  // Connections that are open when the fault is set no longer respond. New
  // connections work.
  Silent,
  // The port refuses connections for DownMs. Then the server cold-starts.
  Restart,
  // The next three modes slow requests down if Factor is above one and fail
  // them otherwise. Late affects requests after the first AfterRequests.
  Late,
  // Affects requests on Route.
  OneRoute,
  // Affects requests while at least half of the slots are in use.
  UnderLoad,
};

// Fault configured by POST /fault.
struct FaultPlan {
  FaultMode Mode = FaultMode::None;
  double Factor = 1.0;
  std::string Route;
  std::uint64_t AfterRequests = 0;
  std::uint32_t DownMs = 300;
  // Health and load reports show an idle, healthy server.
  bool FalseReports = false;
};

// Properties of a request that decide whether a fault affects it.
struct RequestFacts {
  std::string_view Path;
  // Requests since the fault was set.
  std::uint64_t Requests = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t Slots = 12;
};

// Effect of a fault on one request.
struct FaultEffect {
  double Factor = 1.0;
  bool Fails = false;
  bool AtOnce = false;
};

[[nodiscard]] FaultEffect effect(const FaultPlan &Plan,
                                 const RequestFacts &Facts);

// Parses the JSON body of POST /fault. Returns none if it is malformed.
[[nodiscard]] std::optional<FaultPlan> parseFaultPlan(const std::string &Json);

} // namespace magnolia::standin

#endif
