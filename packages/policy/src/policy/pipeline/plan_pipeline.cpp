#include "policy/pipeline/plan_pipeline.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

bool runs(const PipelinedRequest &Request) {
  return Request.Stage == RequestStage::Running;
}

bool isFull(const PipelineState &State, const PipelineLimits &Limits) {
  return State.MemoryShort || heldBytes(State) >= Limits.Bytes;
}

} // namespace

std::size_t heldBytes(const PipelineState &State) {
  std::size_t Sum = 0;
  for (std::size_t I = 1; I < State.Requests.size(); ++I) {
    Sum += State.Requests[I].ResponseBytes;
  }
  return Sum;
}

bool readsOn(const PipelineState &State, const PipelineLimits &Limits) {
  if (State.InputEnded || State.CallerGone || State.Closed) {
    return false;
  }
  return State.Requests.empty() ||
         (!State.Stopping && State.Requests.size() < Limits.Requests &&
          !isFull(State, Limits));
}

std::optional<std::size_t> nextToStart(const PipelineState &State,
                                       const PipelineLimits &Limits) {
  if (State.CallerGone || State.Closed) {
    return std::nullopt;
  }
  const bool Full = isFull(State, Limits);
  for (std::size_t I = 0; I < State.Requests.size(); ++I) {
    const PipelinedRequest &Next = State.Requests[I];
    if (Next.Stage == RequestStage::Waiting) {
      return I == 0 || (Next.Idempotent && !Full) ? std::optional(I)
                                                  : std::nullopt;
    }
    if (!Next.Idempotent || Next.Closes) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

bool mayWrite(const PipelineState &State) {
  return !State.Closed && !State.Requests.empty() &&
         State.Requests.front().Stage == RequestStage::Done;
}

bool closesWithFirst(const PipelineState &State) {
  return !State.Requests.empty() &&
         (State.Requests.front().Closes ||
          (State.Stopping && State.Requests.size() == 1));
}

bool isCancelled(const PipelineState &State, std::size_t Index) {
  return (State.CallerGone || State.Closed) && runs(State.Requests[Index]);
}

bool isOver(const PipelineState &State) {
  if (std::any_of(State.Requests.begin(), State.Requests.end(), runs)) {
    return false;
  }
  if (State.Closed || State.Requests.empty()) {
    return State.Closed || State.CallerGone || State.InputEnded;
  }
  return State.CallerGone && !mayWrite(State);
}

void onAnswered(PipelineState &State) {
  State.Closed = State.Requests.front().Closes;
  State.Requests.erase(State.Requests.begin());
}

} // namespace magnolia::policy
