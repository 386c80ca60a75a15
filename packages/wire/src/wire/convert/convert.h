#ifndef WIRE_CONVERT_CONVERT_H
#define WIRE_CONVERT_CONVERT_H

#include "policy/core/request_id.h"
#include "policy/load/load_report.h"

namespace magnolia::wire {

class LoadReport;
class RequestId;

// Latency is sent in whole microseconds; all other fields are exact.

[[nodiscard]] policy::LoadReport fromWire(const LoadReport &Message);
void toWire(const policy::LoadReport &Report, LoadReport &Message);

[[nodiscard]] policy::RequestId fromWire(const RequestId &Message);
void toWire(const policy::RequestId &Id, RequestId &Message);

} // namespace magnolia::wire

#endif
