#include "settings/service/rollout_deadline.h"

#include "policy/rollout/rollout_options.h"

#include <charconv>
#include <ctime>
#include <string>
#include <string_view>

namespace magnolia::settings {
namespace {

constexpr std::string_view Expected =
    "expected a UTC time such as 2026-12-04T18:00:00Z, or a time from the "
    "start such as +90s, +30m or +2h";

std::optional<policy::Duration> offsetOf(std::string_view Text) {
  std::int64_t Count = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Count);
  const std::int64_t MaxCount =
      std::chrono::duration_cast<std::chrono::seconds>(LongestRollout).count();
  if (Error != std::errc() || Rest + 1 != End || Count <= 0 ||
      Count > MaxCount) {
    return std::nullopt;
  }
  switch (*Rest) {
  case 's':
    return std::chrono::seconds(Count);
  case 'm':
    return std::chrono::minutes(Count);
  case 'h':
    return std::chrono::hours(Count);
  default:
    return std::nullopt;
  }
}

std::optional<policy::Duration> epochTimeOf(const std::string &Text) {
  constexpr std::size_t Size = std::string_view("2026-12-04T18:00:00Z").size();
  std::tm Parts{};
  const char *End = strptime(Text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  if (Text.size() != Size || End == nullptr || *End != '\0') {
    return std::nullopt;
  }
  const std::tm Given = Parts;
  const std::time_t Seconds = timegm(&Parts);
  // timegm normalises a day that the month does not have to one of the next
  // month.
  if (Seconds <= 0 || Parts.tm_mday != Given.tm_mday ||
      Parts.tm_sec != Given.tm_sec) {
    return std::nullopt;
  }
  return std::chrono::seconds(Seconds);
}

} // namespace

std::optional<RolloutDeadline> parseRolloutDeadline(std::string_view Text,
                                                    policy::Error &LastError) {
  const bool Relative = !Text.empty() && Text[0] == '+';
  const auto Offset =
      Relative ? offsetOf(Text.substr(1)) : epochTimeOf(std::string(Text));
  if (!Offset) {
    LastError = {policy::ErrorKind::BadRequest,
                 "deadline \"" + std::string(Text) +
                     "\": " + std::string(Expected)};
    return std::nullopt;
  }
  return RolloutDeadline{Relative, *Offset};
}

policy::TimePoint deadlineAt(const RolloutDeadline &Deadline,
                             policy::TimePoint Now) {
  return Deadline.Relative ? Now + Deadline.Offset
                           : policy::TimePoint(Deadline.Offset);
}

policy::Duration shortestRollout() {
  // Time until the rollout is accepted and its driver starts it.
  constexpr policy::Duration StartAllowance = std::chrono::seconds(10);
  const policy::RolloutOptions Options;
  return Options.DoneMargin + Options.WriteAllowance + StartAllowance +
         Options.MinSoak * static_cast<std::int64_t>(Options.Steps.size());
}

} // namespace magnolia::settings
