#ifndef LOOPBACK_BACKEND_RECORD_H
#define LOOPBACK_BACKEND_RECORD_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace magnolia::bench {

// What a stand-in backend server says that it ran.
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

// Record from the JSON of GET /record.
[[nodiscard]] std::optional<BackendRecord> parseRecord(const std::string &Json);

// Asks the stand-in for its record; the brief one leaves the runs out.
[[nodiscard]] std::optional<BackendRecord>
fetchRecord(const std::string &Address, int Port, bool Brief);

} // namespace magnolia::bench

#endif
