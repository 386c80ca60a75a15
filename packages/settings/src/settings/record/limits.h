#ifndef SETTINGS_RECORD_LIMITS_H
#define SETTINGS_RECORD_LIMITS_H

#include <cstddef>
#include <cstdint>

namespace magnolia::settings {

// Accepted ranges of the fields of records, for the store and for service
// files. Sizes are in bytes.
inline constexpr std::size_t MaxRecordSize = 256UL * 1024;
inline constexpr std::size_t MaxNameSize = 64;
// Names of services, versions and zones that others choose. They may have any
// characters; longer ones do not fit in a membership message.
inline constexpr std::size_t MaxLabelSize = 128;
// Free text; longer text is truncated when a record is written.
inline constexpr std::size_t MaxTextSize = 512;
// A byte that is not UTF-8 is written as a replacement character of 3 bytes.
inline constexpr std::size_t MaxStoredTextSize = 3 * MaxTextSize;
inline constexpr std::size_t MaxPrefixSize = 256;
inline constexpr std::size_t MaxMethodSize = 16;
inline constexpr std::size_t MaxMethods = 16;
inline constexpr std::size_t MaxRoutes = 200;
inline constexpr std::uint64_t MaxTimeoutMs = 600'000;
inline constexpr double MaxRetryRatio = 1.0;
inline constexpr double MaxProbeRatio = 1.0;
// Probes per second and entry node.
inline constexpr double MaxProbeFloor = 1000.0;
// Hedges as a percentage of the requests of a service.
inline constexpr std::uint64_t MaxHedgePercent = 20;
// Milliseconds since the Unix epoch, at the end of the year 9999.
inline constexpr std::uint64_t MaxTimeMs = 253'402'300'799'999;
// Limits of the routing table of a deployment. Only its whole size is limited:
// a limit on one text or list would reject the table because of one route.
inline constexpr std::size_t MaxRoutingSize = 4UL * 1024 * 1024;
inline constexpr double MaxWeight = 1e6;
inline constexpr std::uint64_t MaxSmallNumber = 1'000'000;
inline constexpr std::uint64_t MaxRolloutMs = 86'400'000;
inline constexpr std::uint64_t MaxPort = 65'535;

} // namespace magnolia::settings

#endif
