#ifndef BACKEND_RUN_RECORD_H
#define BACKEND_RUN_RECORD_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace magnolia::standin {

// Counts the executions of each request by request id and by caller token. Not
// thread-safe.
class RunRecord {
public:
  // Entries per table. Later runs only increase unrecorded().
  static constexpr std::size_t MostEntries = 2'000'000;

  // Records that a request has taken a slot and started.
  void started(const std::string &RequestId, const std::string &Token);

  // Records a request that reached the server, whether it ran or not.
  void arrived(std::int64_t WallMs);

  // Runs per caller token.
  [[nodiscard]] const std::unordered_map<std::string, std::uint32_t> &
  runs() const {
    return ByToken;
  }

  // Request ids that ran more than once.
  [[nodiscard]] std::uint64_t repeatedIds() const { return Repeated; }
  [[nodiscard]] std::uint64_t requests() const { return Requests; }
  [[nodiscard]] std::uint64_t unrecorded() const { return Unrecorded; }
  // Wall-clock time of the last request in milliseconds.
  [[nodiscard]] std::int64_t lastRequestMs() const { return LastMs; }

private:
  std::unordered_map<std::string, std::uint32_t> ByToken;
  std::unordered_map<std::string, std::uint32_t> ById;
  std::uint64_t Repeated = 0;
  std::uint64_t Requests = 0;
  std::uint64_t Unrecorded = 0;
  std::int64_t LastMs = 0;
};

} // namespace magnolia::standin

#endif
