#include "backend_record.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace magnolia::bench {

std::optional<BackendRecord> parseRecord(const std::string &Json) {
  const auto Parsed = nlohmann::json::parse(Json, nullptr, false);
  if (!Parsed.is_object()) {
    return std::nullopt;
  }
  try {
    BackendRecord Record;
    Record.Service = Parsed.at("service");
    Record.Version = Parsed.at("version");
    Record.Requests = Parsed.at("requests");
    Record.Overloads = Parsed.at("overloads");
    Record.RepeatedIds = Parsed.at("repeated_ids");
    Record.Unrecorded = Parsed.at("unrecorded");
    Record.FirstFaultMs = Parsed.at("first_fault_ms");
    Record.LastRequestMs = Parsed.at("last_request_ms");
    if (Parsed.contains("runs")) {
      for (const auto &[Token, Count] : Parsed["runs"].items()) {
        Record.Runs[Token] = Count;
      }
    }
    return Record;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

std::optional<BackendRecord> fetchRecord(const std::string &Address, int Port,
                                         bool Brief) {
  httplib::Client Client(Address, Port);
  Client.set_connection_timeout(1);
  Client.set_read_timeout(10);
  const auto Answer = Client.Get(Brief ? "/record?brief=1" : "/record");
  if (!Answer || Answer->status != 200) {
    return std::nullopt;
  }
  return parseRecord(Answer->body);
}

} // namespace magnolia::bench
