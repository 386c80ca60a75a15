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

// Measures that every run has: responses, runs and rejections.
[[nodiscard]] std::vector<Measure>
judgeCalls(std::span<const CallResult> Results, const RunCounts &Runs);

// Overloads of all backend servers, and runs that share a request id.
[[nodiscard]] std::vector<Measure>
judgeRecords(std::span<const BackendRecord> Records);

// Latency added by the system, against direct calls and against the floor.
[[nodiscard]] std::vector<Measure>
judgeLatency(std::span<const CallResult> Results);

// Tail with a slow backend server, against round robin in the same run.
[[nodiscard]] std::vector<Measure>
judgeTail(std::span<const CallResult> Results, const std::string &Service);

// Traffic of a bad version: its share, and its work after callers first saw
// its fault.
[[nodiscard]] std::vector<Measure>
judgeBadVersion(std::span<const CallResult> Results,
                std::span<const BackendRecord> Records,
                const std::string &Service, const std::string &Version);

} // namespace magnolia::bench

#endif
