#ifndef POLICY_PIPELINE_FWD_H
#define POLICY_PIPELINE_FWD_H

#include <cstdint>

namespace magnolia::policy {

enum class RequestStage : std::uint8_t;
struct PipelineLimits;
struct PipelineState;
struct PipelinedRequest;

} // namespace magnolia::policy

#endif
