#ifndef DAEMON_USAGE_USAGE_SETUP_H
#define DAEMON_USAGE_USAGE_SETUP_H

#include "daemon/dialect/usage_call.h"
#include "daemon/http/message.h"
#include "policy/usage/usage_options.h"

#include <cstdint>
#include <string>

namespace magnolia::daemon {

// Receiver of the usage report, and how it is called.
struct UsageSetup {
  std::string Address;
  std::uint16_t Port = 0;
  policy::UsageOptions Times;
  HttpRequest (*Format)(const UsageCall &Call) = nullptr;
};

} // namespace magnolia::daemon

#endif
