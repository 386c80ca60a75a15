#ifndef SETTINGS_RECORD_RECORD_KEY_H
#define SETTINGS_RECORD_RECORD_KEY_H

#include <cstdint>
#include <string>
#include <string_view>

namespace magnolia::settings {

// Prefixes of the keys in the store.
inline constexpr std::string_view ServicePrefix = "services/";
inline constexpr std::string_view ZonePrefix = "zones/";
inline constexpr std::string_view RolloutRecordPrefix = "moves/";
inline constexpr std::string_view ContactPrefix = "contacts/";
inline constexpr std::string_view RolloutRequestPrefix = "orders/";
inline constexpr std::string_view RoutingKey = "routing/table";
inline constexpr std::string_view ClusterKeyKey = "cluster/key";
// Holder of the usage report, and the reports that it may send.
inline constexpr std::string_view UsageDutyKey = "usage/duty";
// Last report of each backend server, by its address.
inline constexpr std::string_view BackendPrefix = "backends/";

[[nodiscard]] std::string serviceKey(std::string_view Service);
[[nodiscard]] std::string zoneKey(std::string_view Zone);
[[nodiscard]] std::string rolloutKey(std::string_view Service);
[[nodiscard]] std::string rolloutRequestKey(std::string_view Service);
[[nodiscard]] std::string backendKey(std::string_view Address,
                                     std::uint16_t Port);
[[nodiscard]] std::string contactKey(std::string_view Zone, std::uint32_t Slot);

// True for the name of a service, zone or version: 1 to 64 letters, digits,
// '.', '_' and '-', starting with a letter or digit.
[[nodiscard]] bool isName(std::string_view Text);

} // namespace magnolia::settings

#endif
