#include "backend/fault_plan.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace magnolia::standin {

namespace {

constexpr std::array<std::pair<std::string_view, FaultMode>, 9> Modes = {{
    {"none", FaultMode::None},
    {"slow", FaultMode::Slow},
    {"fail", FaultMode::Fail},
    {"fail-fast", FaultMode::FailFast},
    {"silent", FaultMode::Silent},
    {"restart", FaultMode::Restart},
    {"late", FaultMode::Late},
    {"one-route", FaultMode::OneRoute},
    {"under-load", FaultMode::UnderLoad},
}};

FaultEffect bad(const FaultPlan &Plan) {
  return {.Factor = Plan.Factor, .Fails = Plan.Factor <= 1.0, .AtOnce = false};
}

} // namespace

FaultEffect effect(const FaultPlan &Plan, const RequestFacts &Facts) {
  switch (Plan.Mode) {
  case FaultMode::Slow:
    return {.Factor = Plan.Factor, .Fails = false, .AtOnce = false};
  case FaultMode::Fail:
    return {.Factor = 1.0, .Fails = true, .AtOnce = false};
  case FaultMode::FailFast:
    return {.Factor = 1.0, .Fails = true, .AtOnce = true};
  case FaultMode::Late:
    return Facts.Requests > Plan.AfterRequests ? bad(Plan) : FaultEffect{};
  case FaultMode::OneRoute:
    return Facts.Path.starts_with(Plan.Route) ? bad(Plan) : FaultEffect{};
  case FaultMode::UnderLoad:
    return Facts.InFlight * 2 >= Facts.Slots ? bad(Plan) : FaultEffect{};
  case FaultMode::None:
  case FaultMode::Silent:
  case FaultMode::Restart:
    break;
  }
  return {};
}

std::optional<FaultPlan> parseFaultPlan(const std::string &Json) {
  const auto Parsed = nlohmann::json::parse(Json, nullptr, false);
  if (!Parsed.is_object()) {
    return std::nullopt;
  }
  try {
    FaultPlan Plan;
    const auto Name = Parsed.value("mode", std::string("none"));
    bool Known = false;
    for (const auto &[Text, Mode] : Modes) {
      if (Text == Name) {
        Plan.Mode = Mode;
        Known = true;
      }
    }
    if (!Known) {
      return std::nullopt;
    }
    Plan.Factor = Parsed.value("factor", Name == "slow" ? 10.0 : 1.0);
    Plan.Route = Parsed.value("route", std::string("/"));
    Plan.AfterRequests = Parsed.value("after_requests", std::uint64_t{0});
    Plan.DownMs = Parsed.value("down_ms", Plan.DownMs);
    Plan.FalseReports = Parsed.value("lie", false);
    return Plan;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace magnolia::standin
