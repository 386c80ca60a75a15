#include "ctl/core/exit_code.h"

#include <algorithm>
#include <array>

namespace magnolia::ctl {
namespace {

// In ascending order of urgency.
constexpr std::array Order = {ExitCode::Done,           ExitCode::NotInEffect,
                              ExitCode::Failed,         ExitCode::Conflict,
                              ExitCode::OutcomeUnknown, ExitCode::Usage};

} // namespace

std::string_view toString(ExitCode Code) {
  switch (Code) {
  case ExitCode::Done:
    return "done";
  case ExitCode::Failed:
    return "failed";
  case ExitCode::Usage:
    return "usage";
  case ExitCode::Conflict:
    return "conflict";
  case ExitCode::OutcomeUnknown:
    return "outcome_unknown";
  case ExitCode::NotInEffect:
    return "not_in_force";
  }
  return "failed";
}

ExitCode worse(ExitCode Left, ExitCode Right) {
  const auto *First = std::find(Order.begin(), Order.end(), Left);
  const auto *Second = std::find(Order.begin(), Order.end(), Right);
  return First < Second ? Right : Left;
}

} // namespace magnolia::ctl
