#include "settings/record/routing_change.h"

#include "settings/record/internal/line_difference.h"
#include "settings/record/internal/routing_line.h"
#include "settings/record/limits.h"
#include "settings/record/routing_json.h"
#include "settings/record/routing_lines.h"
#include "settings/record/routing_text.h"

#include <algorithm>
#include <span>
#include <utility>

namespace magnolia::settings {
namespace {

constexpr std::string_view What = "routing table: ";

std::nullopt_t reject(policy::Error &LastError, std::string Reason) {
  LastError = {policy::ErrorKind::BadRequest,
               std::string(What) + std::move(Reason)};
  return std::nullopt;
}

// Adds the number of the line, which is a part of the value, to the reason.
std::nullopt_t rejectLine(policy::Error &LastError, std::string_view Value,
                          std::string_view Line) {
  const auto Number =
      1 + std::count(Value.data(), Line.data(), internal::LineBreak);
  return reject(LastError,
                "line " + std::to_string(Number) + ": " + LastError.Detail);
}

// The last line may end with a line break.
std::string_view withoutLastBreak(std::string_view Value) {
  while (Value.ends_with(internal::LineBreak)) {
    Value.remove_suffix(1);
  }
  return Value;
}

// True for a JSON document of the previous format. It is written in one line;
// an indented one begins with a brace alone.
bool isDocument(std::string_view Value) {
  const std::size_t Break = Value.find(internal::LineBreak);
  return Break == std::string_view::npos || Value.substr(0, Break) == "{";
}

// Returns the lines after the first one.
std::string_view bodyOf(std::string_view Value) {
  const std::size_t Break = Value.find(internal::LineBreak);
  return Break == std::string_view::npos ? std::string_view()
                                         : Value.substr(Break + 1);
}

std::size_t countKind(std::span<const std::string_view> Lines,
                      std::string_view Start) {
  return static_cast<std::size_t>(
      std::count_if(Lines.begin(), Lines.end(), [Start](std::string_view Line) {
        return Line.starts_with(Start);
      }));
}

std::size_t countServices(std::span<const std::string_view> Lines) {
  return countKind(Lines, internal::ServiceLineStart) -
         countKind(Lines, internal::OrganisationLineStart);
}

// Parses the lines. Returns the first wrong one, or nothing.
std::optional<std::string_view>
parseLines(std::span<const std::string_view> Lines,
           std::vector<std::shared_ptr<const HostRoute>> &Routes,
           std::vector<ServiceLimits> &Services,
           std::vector<OrganisationRecord> &Organisations,
           policy::Error &LastError) {
  for (const std::string_view Line : Lines) {
    if (Line.starts_with(internal::OrganisationLineStart)) {
      auto Organisation = internal::parseOrganisationLine(Line, LastError);
      if (!Organisation) {
        return Line;
      }
      Organisations.push_back(*std::move(Organisation));
      continue;
    }
    if (Line.starts_with(internal::ServiceLineStart)) {
      auto Service = internal::parseServiceLine(Line, LastError);
      if (!Service) {
        return Line;
      }
      Services.push_back(*std::move(Service));
      continue;
    }
    auto Route = internal::parseRouteLine(Line, LastError);
    if (!Route) {
      return Line;
    }
    Routes.push_back(std::make_shared<const HostRoute>(*std::move(Route)));
  }
  return std::nullopt;
}

std::optional<RoutingChange> compareText(const RoutingLines &Last,
                                         std::string_view Value,
                                         policy::Error &LastError) {
  RoutingChange Change;
  const std::string_view Head =
      Value.substr(0, Value.find(internal::LineBreak));
  if (!internal::parseHeadLine(Head, Change.Version, Change.Callers,
                               LastError)) {
    return rejectLine(LastError, Value, Head);
  }
  const internal::LineDifference Lines = internal::compareLines(
      bodyOf(withoutLastBreak(Last.Text)), bodyOf(Value));
  Change.Routes = Last.Routes +
                  countKind(Lines.Added, internal::RouteLineStart) -
                  countKind(Lines.Removed, internal::RouteLineStart);
  Change.Services =
      Last.Services + countServices(Lines.Added) - countServices(Lines.Removed);
  if (const auto Wrong =
          parseLines(Lines.Added, Change.AddedRoutes, Change.AddedServices,
                     Change.AddedOrganisations, LastError)) {
    return rejectLine(LastError, Value, *Wrong);
  }
  if (parseLines(Lines.Removed, Change.RemovedRoutes, Change.RemovedServices,
                 Change.RemovedOrganisations, LastError)) {
    return reject(LastError,
                  "a line in effect cannot be read: " + LastError.Detail);
  }
  return Change;
}

} // namespace

std::optional<RoutingChange> compareRouting(const RoutingLines &Last,
                                            std::string_view Value,
                                            policy::Error &LastError) {
  if (Value.size() > MaxRoutingSize) {
    return reject(LastError, "the value has more than " +
                                 std::to_string(MaxRoutingSize) + " bytes");
  }
  Value = withoutLastBreak(Value);
  if (!isDocument(Value)) {
    return compareText(Last, Value, LastError);
  }
  const auto Document = parseRoutingDocument(Value, LastError);
  if (!Document) {
    return std::nullopt;
  }
  std::string Text = formatRouting(*Document);
  auto Change = compareText(Last, Text, LastError);
  if (Change) {
    Change->Converted = std::move(Text);
  }
  return Change;
}

void remember(RoutingLines &Lines, std::string_view Value,
              const RoutingChange &Change) {
  Lines.Text = Change.Converted ? std::string_view(*Change.Converted) : Value;
  Lines.Routes = Change.Routes;
  Lines.Services = Change.Services;
}

} // namespace magnolia::settings
