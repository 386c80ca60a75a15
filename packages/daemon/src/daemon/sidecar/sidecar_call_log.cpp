#include "daemon/sidecar/sidecar_call.h"

#include "daemon/log/log.h"
#include "daemon/net/clock.h"
#include "daemon/sidecar/backend_headers.h"
#include "policy/admission/admit.h"

#include <string_view>

namespace magnolia::daemon {

using policy::ErrorKind;

void SidecarCall::logRefusal(ErrorKind Kind) const {
  const std::string *Id =
      findOptionalHeader(Request.Headers, Owner.dialect().Headers.RequestId);
  const policy::AdmissionState State = Owner.admissionState();
  log(LogLevel::Info, "request refused by the sidecar",
      {{"request", Id ? std::string_view(*Id) : std::string_view()},
       {"service", std::string_view(Request.Service)},
       {"kind", policy::errorEntry(Kind).Name},
       {"priority", std::uint64_t{Request.Priority}},
       {"in_flight", std::uint64_t{State.InFlight}},
       {"limit", std::uint64_t{policy::limit(State)}},
       {"waiting", State.Waiting.size()},
       {"work_time_percent", std::uint64_t{State.WorkTimePercent}},
       {"cold", policy::isCold(State, now())},
       {"draining", State.Draining}});
}

} // namespace magnolia::daemon
