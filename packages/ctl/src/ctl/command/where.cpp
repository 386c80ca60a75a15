#include "ctl/command/internal/commands.h"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

namespace magnolia::ctl::internal {
namespace {

using Json = nlohmann::ordered_json;
using Row = std::vector<std::string>;

std::string textOf(const Json &Value) {
  if (Value.is_null()) {
    return "-";
  }
  if (Value.is_string()) {
    return Value.get<std::string>();
  }
  if (Value.is_number_float()) {
    constexpr double Hundredths = 100;
    const auto Rounded =
        static_cast<long long>(Value.get<double>() * Hundredths);
    std::string Text = std::to_string(Rounded / 100) + ".";
    const std::string Fraction =
        std::to_string(100 + std::llabs(Rounded) % 100);
    return Text + Fraction.substr(1);
  }
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Prints an object as "name: key value, key value".
void printObject(Output &Out, const Json &From, const char *Name) {
  const auto Found = From.find(Name);
  if (Found == From.end()) {
    return;
  }
  std::string Line = std::string(Name) + ":";
  if (!Found->is_object()) {
    Out.line(Line + " " + textOf(*Found));
    return;
  }
  for (const auto &[Key, Value] : Found->items()) {
    Line += (Line.back() == ':' ? " " : ", ") + Key + " " + textOf(Value);
  }
  Out.line(Line);
}

void printTable(Output &Out, const std::vector<Row> &Rows) {
  std::vector<std::size_t> Widths(Rows.front().size());
  for (const Row &Next : Rows) {
    for (std::size_t I = 0; I < Next.size(); ++I) {
      Widths[I] = std::max(Widths[I], Next[I].size());
    }
  }
  for (const Row &Next : Rows) {
    std::string Line;
    for (std::size_t I = 0; I < Next.size(); ++I) {
      Line += "  " + Next[I] + std::string(Widths[I] - Next[I].size(), ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Out.line(Line);
  }
}

void printCandidates(Output &Out, const Json &From) {
  const Json Candidates = From.value("candidates", Json::array());
  if (!Candidates.is_array() || Candidates.empty()) {
    return;
  }
  constexpr const char *Columns[] = {"address", "peer_port",   "zone",
                                     "version", "state",       "in_flight",
                                     "limit",   "expected_ms", "report_age_ms"};
  const Json Choice = From.value("choice", Json::object());
  std::vector<Row> Rows = {{" "}};
  for (const char *Column : Columns) {
    Rows.front().emplace_back(Column);
  }
  for (const Json &Server : Candidates) {
    Rows.push_back({Server == Choice ? "*" : " "});
    for (const char *Column : Columns) {
      Rows.back().push_back(textOf(Server.value(Column, Json())));
    }
  }
  Out.line("candidates (* would be chosen):");
  printTable(Out, Rows);
}

void print(Output &Out, const Json &Answer) {
  for (const char *Part : {"routing_table", "view", "stopping", "route",
                           "split", "service", "rollout", "zones_out"}) {
    printObject(Out, Answer, Part);
  }
  printCandidates(Out, Answer);
  for (const char *Part :
       {"losses", "admission", "sidecar", "hedge", "rejection"}) {
    printObject(Out, Answer, Part);
  }
}

} // namespace

ExitCode where(Context &Run) {
  const CtlOptions &Options = Run.Options;
  policy::Error Error;
  QueryValues Query = {{"host", Options.Host},
                       {"path", Options.Arguments[0]},
                       {"method", Options.Method},
                       {"organisation", Options.Organisation}};
  // Older nodes reject names that they do not know.
  if (Options.Nested) {
    Query.emplace("nested", "true");
  }
  const auto Body =
      Run.Fetch(*Options.Http, "/-/where", Query, Options.Timeout, Error);
  const Json Answer =
      Body ? Json::parse(*Body, nullptr, false) : Json::object();
  if (!Body || !Answer.is_object()) {
    const std::string Reason =
        Body ? "node " + toString(*Options.Http) + ": unexpected response"
             : Error.Detail;
    Run.Out.line("error: " + Reason);
    Run.Out.Document["error"] = Reason;
    return ExitCode::Failed;
  }
  Run.Out.Document["where"] = Answer;
  if (const auto Fault = Answer.find("error"); Fault != Answer.end()) {
    const std::string Reason =
        "node " + toString(*Options.Http) + ": " + textOf(*Fault);
    Run.Out.line("error: " + Reason);
    Run.Out.Document["error"] = Reason;
    return ExitCode::Failed;
  }
  print(Run.Out, Answer);
  return ExitCode::Done;
}

} // namespace magnolia::ctl::internal
