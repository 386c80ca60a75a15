#ifndef POLICY_LINGER_FWD_H
#define POLICY_LINGER_FWD_H

namespace magnolia::policy {

struct LingerLimits;
struct LingerState;

} // namespace magnolia::policy

#endif
