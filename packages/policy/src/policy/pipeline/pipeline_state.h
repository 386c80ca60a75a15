#ifndef POLICY_PIPELINE_PIPELINE_STATE_H
#define POLICY_PIPELINE_PIPELINE_STATE_H

#include "policy/pipeline/pipelined_request.h"

#include <vector>

namespace magnolia::policy {

// Requests of one connection that are not answered, and what is known of the
// connection.
struct PipelineState {
  // In the order in which they were sent; at most as many as the limit.
  std::vector<PipelinedRequest> Requests;
  // True if no further request can be read.
  bool InputEnded = false;
  // True once the caller has closed the connection.
  bool CallerGone = false;
  // True once a response has closed the connection, or it broke.
  bool Closed = false;
  // True while a planned stop is in progress.
  bool Stopping = false;
  // True if the node has no memory for further responses.
  bool MemoryShort = false;
};

} // namespace magnolia::policy

#endif
