#ifndef DAEMON_ENTRY_HTTP_SERVICE_OPTIONS_H
#define DAEMON_ENTRY_HTTP_SERVICE_OPTIONS_H

#include "daemon/http/reader.h"
#include "policy/core/types.h"
#include "policy/pipeline/pipeline_limits.h"
#include "settings/record/caller_limits.h"

#include <cstddef>

namespace magnolia::daemon {

struct HttpServiceOptions {
  HttpLimits Limits;
  // Memory for the bodies of requests; null for no limit on their sum.
  BodyMemory *Memory = nullptr;
  // Maximum idle time between two requests on a connection.
  policy::Duration Idle{};
  // Maximum pause within a request, and maximum time to write a response.
  policy::Duration Read{};
  // Maximum time from the first to the last byte of a request head; 0 means no
  // limit.
  policy::Duration Head{};
  // Limits on the requests of one connection that run at the same time.
  policy::PipelineLimits Pipeline;
  // Maximum number of requests of all connections that run beside an earlier
  // one of their connection. Each has a fiber.
  std::size_t PipelineFibers = 1024;
};

// Returns the options with the caller limits of the configuration applied. The
// node's own size limits protect its memory, so the smaller size limit applies.
[[nodiscard]] HttpServiceOptions
applyCallerLimits(const HttpServiceOptions &NodeOptions,
                  const settings::CallerLimits &Configured);

} // namespace magnolia::daemon

#endif
