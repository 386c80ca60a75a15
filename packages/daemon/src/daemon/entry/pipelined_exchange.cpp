#include "daemon/entry/pipelined_exchange.h"

#include "daemon/entry/caller_connection.h"

namespace magnolia::daemon {

pollfd PipelinedExchange::entry() const {
  const short Events =
      OnOwnFiber || Cancelled ? short{0} : Owner.wantedEvents();
  return {.fd = Events == 0 ? -1 : Owner.Accepted.fd(),
          .events = Events,
          .revents = 0};
}

void PipelinedExchange::afterWait(short Seen, policy::TimePoint Now) {
  if (!OnOwnFiber) {
    Owner.serveDuringWait(Seen, Now);
  }
}

} // namespace magnolia::daemon
