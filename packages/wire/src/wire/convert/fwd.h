#ifndef WIRE_CONVERT_FWD_H
#define WIRE_CONVERT_FWD_H

namespace magnolia::wire {

class LoadReport;
class RequestId;

} // namespace magnolia::wire

#endif
