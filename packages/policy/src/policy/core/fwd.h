#ifndef POLICY_CORE_FWD_H
#define POLICY_CORE_FWD_H

#include <cstdint>

namespace magnolia::policy {

enum class ErrorKind : std::uint8_t;
enum class RunOutcome : std::uint8_t;
struct Error;
struct ErrorEntry;
struct RequestId;

} // namespace magnolia::policy

#endif
