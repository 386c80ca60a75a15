#include "policy/rollout/route_rows.h"

#include "policy/core/types.h"

#include <charconv>
#include <system_error>

namespace magnolia::policy {

namespace {

// Names of routes begin with a slash.
constexpr std::string_view SharedPrefix = "(routes ";
constexpr std::string_view SharedSuffix = ")";

std::string sharedName(std::size_t Number) {
  std::string Name(SharedPrefix);
  Name += std::to_string(Number);
  Name += SharedSuffix;
  return Name;
}

bool isSharedName(std::string_view Name) {
  if (!Name.starts_with(SharedPrefix)) {
    return false;
  }
  const std::string_view Digits = Name.substr(SharedPrefix.size());
  std::size_t Number = 0;
  const auto Read =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Number);
  return Read.ec == std::errc() && Number < RouteRows::MaxShared &&
         Name == sharedName(Number);
}

RouteRow findOrAdd(RouteRows &Rows, std::string Name) {
  const std::size_t Next = Rows.Numbers.size();
  const auto Place = Rows.Numbers.try_emplace(std::move(Name), Next).first;
  return {.Number = Place->second, .Name = Place->first};
}

} // namespace

RouteRow rowOf(RouteRows &Rows, std::string_view Route) {
  const auto Found = Rows.Numbers.find(Route);
  if (Found != Rows.Numbers.end()) {
    return {.Number = Found->second, .Name = Found->first};
  }
  if (isSharedName(Route)) {
    return findOrAdd(Rows, std::string(Route));
  }
  if (Rows.Own < RouteRows::MaxOwn) {
    ++Rows.Own;
    return findOrAdd(Rows, std::string(Route));
  }
  return findOrAdd(Rows, sharedName(hashOf(Route) % RouteRows::MaxShared));
}

} // namespace magnolia::policy
