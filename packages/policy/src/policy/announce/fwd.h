#ifndef POLICY_ANNOUNCE_FWD_H
#define POLICY_ANNOUNCE_FWD_H

#include <cstdint>

namespace magnolia::policy {

enum class BackendStage : std::uint8_t;
enum class ReportVerdict : std::uint8_t;
struct AnnounceState;
struct BackendReport;

} // namespace magnolia::policy

#endif
