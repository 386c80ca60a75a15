#ifndef BACKEND_FWD_H
#define BACKEND_FWD_H

namespace magnolia::standin {

struct BackendOptions;
struct FaultPlan;
struct RequestFacts;
struct SlotState;
class RunRecord;
class BackendServer;

} // namespace magnolia::standin

#endif
