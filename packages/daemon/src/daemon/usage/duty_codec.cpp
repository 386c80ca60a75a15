#include "daemon/usage/duty_codec.h"

#include "policy/core/parse_json.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace magnolia::daemon {

namespace {

using Json = nlohmann::json;

} // namespace

std::string formatDuty(const policy::DutyRecord &Record) {
  Json Pending = Json::array();
  for (const policy::WindowCounts &Next : Record.Pending) {
    Pending.push_back({{"window", Next.Window}, {"counts", Next.Counts}});
  }
  return Json({{"operation", Record.OperationId},
               {"holder", Record.Holder},
               {"node", Record.Node},
               {"token", Record.Token},
               {"era", Record.Epoch},
               {"recorded", Record.Recorded},
               {"pending", std::move(Pending)}})
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<policy::DutyRecord> parseDuty(std::string_view Text,
                                            policy::Error &LastError) {
  const Json Document = policy::parseJson(Text);
  try {
    policy::DutyRecord Record;
    Record.OperationId = Document.at("operation").get<std::string>();
    Record.Holder = Document.at("holder").get<std::string>();
    Record.Node = Document.at("node").get<std::uint64_t>();
    Record.Token = Document.at("token").get<std::uint64_t>();
    Record.Epoch = Document.at("era").get<std::uint64_t>();
    Record.Recorded = Document.at("recorded").get<std::uint64_t>();
    for (const Json &Next : Document.at("pending")) {
      Record.Pending.push_back(
          {.Window = Next.at("window").get<std::uint64_t>(),
           .Counts = Next.at("counts").get<policy::OrganisationCounts>()});
    }
    return Record;
  } catch (const Json::exception &Reason) {
    LastError = {policy::ErrorKind::BadRequest,
                 std::string("the record of the usage report: ") +
                     Reason.what()};
    return std::nullopt;
  }
}

} // namespace magnolia::daemon
