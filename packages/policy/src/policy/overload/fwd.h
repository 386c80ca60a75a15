#ifndef POLICY_OVERLOAD_FWD_H
#define POLICY_OVERLOAD_FWD_H

#include <cstdint>

namespace magnolia::policy {

enum class WaitStep : std::uint8_t;
struct BackendWaits;
struct LateRequest;
struct OverloadOptions;
struct OverloadState;
struct UnservedRequest;
struct WaitProgress;

} // namespace magnolia::policy

#endif
