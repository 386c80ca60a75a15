#ifndef POLICY_OVERLOAD_FWD_H
#define POLICY_OVERLOAD_FWD_H

namespace magnolia::policy {

struct LateRequest;
struct OverloadOptions;
struct OverloadState;

} // namespace magnolia::policy

#endif
