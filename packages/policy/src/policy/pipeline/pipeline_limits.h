#ifndef POLICY_PIPELINE_PIPELINE_LIMITS_H
#define POLICY_PIPELINE_PIPELINE_LIMITS_H

#include <cstddef>

namespace magnolia::policy {

// Limits of one connection.
struct PipelineLimits {
  // Maximum number of requests that wait or run; with 1, each request is read
  // after the response to the one before.
  std::size_t Requests = 1;
  // Bytes of responses held until their turn, from which on no request is read
  // or started. Requests that run by then may still add theirs.
  std::size_t Bytes = std::size_t{1} << 20;
};

} // namespace magnolia::policy

#endif
