#ifndef POLICY_RETRY_FWD_H
#define POLICY_RETRY_FWD_H

#include <cstdint>

namespace magnolia::policy {

enum class OutcomeEvent : std::uint8_t;
enum class RetryAction : std::uint8_t;
struct AttemptState;
struct Outcome;
struct RetryBudget;
struct RetryDecision;
struct RetryOptions;

} // namespace magnolia::policy

#endif
