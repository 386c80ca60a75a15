#ifndef DAEMON_ENTRY_PIPELINED_EXCHANGE_H
#define DAEMON_ENTRY_PIPELINED_EXCHANGE_H

#include "daemon/entry/caller_watch.h"
#include "daemon/entry/fwd.h"
#include "daemon/http/message.h"
#include "daemon/http/reader.h"
#include "daemon/net/fiber_signal.h"

#include <optional>
#include <string>

namespace magnolia::daemon {

// One request of a connection and its response.
class PipelinedExchange final : public CallerWatch {
public:
  explicit PipelinedExchange(CallerConnection &Owner) : Owner(Owner) {}

  [[nodiscard]] pollfd entry() const override;
  [[nodiscard]] FiberSignal *signal() override { return &Cancel; }
  void afterWait(short Seen, policy::TimePoint Now) override;
  [[nodiscard]] bool isGone() const override { return Cancelled; }

  void cancel() {
    Cancelled = true;
    Cancel.raise();
  }

  HttpRequest Request;
  HttpResponse Response;
  std::string Method;
  policy::TimePoint Arrived{};
  // True if the request runs on a fiber of its own.
  bool OnOwnFiber = false;
  // Set if the request was rejected before it was read whole.
  std::optional<HttpReadStatus> Rejected;

private:
  CallerConnection &Owner;
  FiberSignal Cancel;
  bool Cancelled = false;
};

} // namespace magnolia::daemon

#endif
