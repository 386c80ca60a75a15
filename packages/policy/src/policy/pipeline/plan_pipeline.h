#ifndef POLICY_PIPELINE_PLAN_PIPELINE_H
#define POLICY_PIPELINE_PLAN_PIPELINE_H

#include "policy/pipeline/pipeline_limits.h"
#include "policy/pipeline/pipeline_state.h"

#include <cstddef>
#include <optional>

namespace magnolia::policy {

// Returns the bytes of responses that are held until their turn. The response
// to the first request is not held: it is being written.
[[nodiscard]] std::size_t heldBytes(const PipelineState &State);

// True if the next request is to be read. A stopping node reads a request only
// if it has answered those before it, so that every request that it has read
// gets its response.
[[nodiscard]] bool readsOn(const PipelineState &State,
                           const PipelineLimits &Limits);

// Returns the position of the next request to start. Idempotent requests start
// beside others; any other starts once all requests in front of it are
// answered, and no request starts before it is answered itself. The first
// request is never held back by a limit.
[[nodiscard]] std::optional<std::size_t>
nextToStart(const PipelineState &State, const PipelineLimits &Limits);

// True if the response to the first request may be written.
[[nodiscard]] bool mayWrite(const PipelineState &State);

// True if the response to the first request, which begins to be written, closes
// the connection. During a planned stop that is the response to the last
// request that was read. The caller of this function sets Closes accordingly.
[[nodiscard]] bool closesWithFirst(const PipelineState &State);

// True if the running request at the position is to be cancelled, because
// nobody can receive its response.
[[nodiscard]] bool isCancelled(const PipelineState &State, std::size_t Index);

// True if nothing is left to write or to wait for. Requests that have not
// started are dropped.
[[nodiscard]] bool isOver(const PipelineState &State);

// Records that the response to the first request was written, and removes the
// request. If the response closes the connection, nothing behind it is written.
void onAnswered(PipelineState &State);

} // namespace magnolia::policy

#endif
