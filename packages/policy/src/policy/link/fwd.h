#ifndef POLICY_LINK_FWD_H
#define POLICY_LINK_FWD_H

namespace magnolia::policy {

struct LinkOptions;
struct LinkState;
struct ReceivedBytes;
struct TransferQuery;

} // namespace magnolia::policy

#endif
