#ifndef POLICY_CHAIN_FWD_H
#define POLICY_CHAIN_FWD_H

namespace magnolia::policy {

struct ChainContext;
struct ChainHeader;

} // namespace magnolia::policy

#endif
