#ifndef POLICY_PIPELINE_PIPELINED_REQUEST_H
#define POLICY_PIPELINE_PIPELINED_REQUEST_H

#include <cstddef>
#include <cstdint>

namespace magnolia::policy {

enum class RequestStage : std::uint8_t {
  Waiting,
  Running,
  // The response is complete and not written yet.
  Done,
};

// One request of a connection, from its last byte to the last byte of its
// response.
struct PipelinedRequest {
  RequestStage Stage = RequestStage::Waiting;
  // True if the request may run more than once, and therefore beside others.
  bool Idempotent = false;
  // True if the connection closes after the response.
  bool Closes = false;
  // Size of the response in bytes, once the stage is Done.
  std::size_t ResponseBytes = 0;
};

} // namespace magnolia::policy

#endif
