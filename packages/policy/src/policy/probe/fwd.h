#ifndef POLICY_PROBE_FWD_H
#define POLICY_PROBE_FWD_H

namespace magnolia::policy {

struct ProbeBudget;
struct ProbeOptions;

} // namespace magnolia::policy

#endif
