#ifndef DAEMON_DIALECT_USAGE_CALL_H
#define DAEMON_DIALECT_USAGE_CALL_H

#include "policy/usage/window_counts.h"

#include <cstdint>
#include <string_view>

namespace magnolia::daemon {

// Report of one window to the receiver of the usage report.
struct UsageCall {
  // Name of the holder, unique to its instance.
  std::string_view Holder;
  std::uint64_t Token = 0;
  const policy::WindowCounts &Report;
};

} // namespace magnolia::daemon

#endif
