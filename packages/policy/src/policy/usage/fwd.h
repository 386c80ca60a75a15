#ifndef POLICY_USAGE_FWD_H
#define POLICY_USAGE_FWD_H

namespace magnolia::policy {

struct ClockSamples;
struct DutyAction;
struct DutyFacts;
struct DutyInput;
struct DutyRecord;
struct DutyState;
struct RunCounts;
struct UsageMessage;
struct UsageOptions;
struct UsageTotals;
struct WindowCounts;

} // namespace magnolia::policy

#endif
