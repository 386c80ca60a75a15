#ifndef WIRE_SEAL_FWD_H
#define WIRE_SEAL_FWD_H

namespace magnolia::wire {

struct ClusterKey;

} // namespace magnolia::wire

#endif
