#ifndef POLICY_CONFIG_FETCH_OUTCOME_H
#define POLICY_CONFIG_FETCH_OUTCOME_H

namespace magnolia::policy {

// Result of a fetch.
enum class FetchOutcome {
  // The response held a value or patches that fit.
  Arrived,
  // No response in time.
  Failed,
  // The node sends to others; it told when to ask again.
  Postponed,
  // Patches that do not fit the value in the table.
  Misfit,
  // The node has nothing newer.
  Nothing,
  // The table refused the value because of a limit.
  Refused,
};

} // namespace magnolia::policy

#endif
