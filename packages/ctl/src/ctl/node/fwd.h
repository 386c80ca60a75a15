#ifndef CTL_NODE_FWD_H
#define CTL_NODE_FWD_H

namespace magnolia::ctl {

struct FleetState;

} // namespace magnolia::ctl

#endif
