#ifndef POLICY_MEMORY_FWD_H
#define POLICY_MEMORY_FWD_H

namespace magnolia::policy {

struct ByteBudget;

} // namespace magnolia::policy

#endif
