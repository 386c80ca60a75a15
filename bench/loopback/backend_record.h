#ifndef LOOPBACK_BACKEND_RECORD_H
#define LOOPBACK_BACKEND_RECORD_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace magnolia::bench {

// Requests that a stand-in backend server reports to have run.
struct BackendRecord {
  std::string Service;
  std::string Version;
  std::unordered_map<std::string, std::uint32_t> Runs;
  std::uint64_t Requests = 0;
  std::uint64_t Overloads = 0;
  std::uint64_t RepeatedIds = 0;
  std::uint64_t Unrecorded = 0;
  std::int64_t FirstFaultMs = 0;
  std::int64_t LastRequestMs = 0;
};

// Parses the JSON body of GET /record.
[[nodiscard]] std::optional<BackendRecord> parseRecord(const std::string &Json);

// Fetches the record of a stand-in. A brief record omits the runs.
[[nodiscard]] std::optional<BackendRecord>
fetchRecord(const std::string &Address, int Port, bool Brief);

} // namespace magnolia::bench

#endif
