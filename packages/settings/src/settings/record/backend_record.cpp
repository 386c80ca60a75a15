#include "settings/record/backend_record.h"

#include "settings/record/internal/field_reader.h"
#include "settings/record/limits.h"

#include <nlohmann/json.hpp>

#include <array>

namespace magnolia::settings {
namespace {

using internal::FieldReader;
using policy::BackendReport;
using policy::BackendStage;

constexpr std::array<std::string_view, 3> StageNames = {"ready", "draining",
                                                        "left"};

std::optional<BackendStage> stageOf(std::string_view Name) {
  for (std::size_t I = 0; I < StageNames.size(); ++I) {
    if (StageNames[I] == Name) {
      return static_cast<BackendStage>(I);
    }
  }
  return std::nullopt;
}

} // namespace

std::string formatBackend(const BackendReport &Report) {
  return nlohmann::ordered_json{
      {"instance", Report.Instance},
      {"service", Report.Service},
      {"version", Report.Version},
      {"address", Report.Address},
      {"port", Report.Port},
      {"slots", Report.Slots},
      {"stage", StageNames[static_cast<std::size_t>(Report.Stage)]},
      {"sequence", Report.Sequence},
      {"born", Report.Born},
      {"left_ms", std::chrono::floor<std::chrono::milliseconds>(
                      Report.LeftAt.time_since_epoch())
                      .count()}}
      .dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::optional<BackendReport> parseBackend(std::string_view Value,
                                          policy::Error &LastError) {
  FieldReader Fields("backend record", Value);
  BackendReport Report;
  Report.Instance = Fields.text("instance", MaxTextSize);
  // A server may leave before its first heartbeat has told its service.
  Report.Service = Fields.optionalText("service", MaxLabelSize);
  Report.Version = Fields.optionalText("version", MaxLabelSize);
  Report.Address = Fields.text("address", MaxTextSize);
  Report.Port = static_cast<std::uint16_t>(Fields.number("port", 1, MaxPort));
  Report.Slots =
      static_cast<std::uint32_t>(Fields.number("slots", 1, MaxSmallNumber));
  const auto Stage = stageOf(Fields.text("stage", MaxNameSize));
  if (!Stage) {
    Fields.fail("stage", "ready, draining or left");
  }
  Report.Stage = Stage.value_or(BackendStage::Left);
  Report.Sequence = Fields.number("sequence", 0, UINT64_MAX);
  Report.Born = Fields.number("born", 0, UINT64_MAX);
  Report.LeftAt = policy::TimePoint(
      std::chrono::milliseconds(Fields.number("left_ms", 0, MaxTimeMs, 0)));
  if (Fields.report(LastError)) {
    return std::nullopt;
  }
  return Report;
}

} // namespace magnolia::settings
