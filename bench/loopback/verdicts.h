#ifndef LOOPBACK_VERDICTS_H
#define LOOPBACK_VERDICTS_H

#include "backend_record.h"
#include "call.h"
#include "measure.h"

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnolia::bench {

// Runs per caller token over all backend servers.
using RunCounts = std::unordered_map<std::string, std::uint32_t>;

[[nodiscard]] RunCounts mergeRuns(std::span<const BackendRecord> Records);

// Measures that every run has, about responses, runs and rejections.
[[nodiscard]] std::vector<Measure>
judgeCalls(std::span<const CallResult> Results, const RunCounts &Runs);

// Overloads of all backend servers and runs that share a request id.
[[nodiscard]] std::vector<Measure>
judgeRecords(std::span<const BackendRecord> Records);

// Latency added by the load balancer, compared with direct calls and with the
// relays.
[[nodiscard]] std::vector<Measure>
judgeLatency(std::span<const CallResult> Results);

// Tail latency with a slow backend server, compared with round robin in the
// same run.
[[nodiscard]] std::vector<Measure>
judgeTail(std::span<const CallResult> Results, const std::string &Service);

// Traffic of a bad version: its share, and its requests after callers first saw
// its fault.
[[nodiscard]] std::vector<Measure>
judgeBadVersion(std::span<const CallResult> Results,
                std::span<const BackendRecord> Records,
                const std::string &Service, const std::string &Version);

} // namespace magnolia::bench

#endif
