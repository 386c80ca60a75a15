#ifndef DAEMON_LINK_LINK_PACER_H
#define DAEMON_LINK_LINK_PACER_H

#include "policy/link/link_state.h"
#include "policy/link/received_bytes.h"
#include "policy/link/transfer_query.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>

namespace magnolia::daemon {

// Shares the network link of the node among the large bodies that it sends, and
// counts the bodies that it receives.
class LinkPacer {
public:
  // Capacity in bytes per second; 0 means unknown, without a limit.
  explicit LinkPacer(double BytesPerSecond);

  [[nodiscard]] bool isLimited() const;
  // Returns false if the request must be rejected because the link is busy for
  // longer than it can wait. Each accepted request ends in one call of end.
  [[nodiscard]] bool begin(const policy::TransferQuery &Query,
                           policy::TimePoint Now);
  void end(std::size_t BodyBytes);
  // Returns the time at which the next piece of a body may be sent, or nothing
  // if that is after the latest time.
  [[nodiscard]] std::optional<policy::TimePoint>
  reserve(std::size_t Bytes, policy::TimePoint Now, policy::TimePoint Latest);

  // Counts bytes of a request body that arrived now.
  void countReceived(std::size_t Bytes, policy::TimePoint Now);
  // Returns the bytes counted in the last second in percent of the capacity; 0
  // if the capacity is unknown.
  [[nodiscard]] std::uint32_t usePercent(policy::TimePoint Now) const;

  [[nodiscard]] policy::LinkState state() const;

private:
  mutable std::mutex Mutex;
  policy::LinkState State;
  policy::ReceivedBytes Received;
};

} // namespace magnolia::daemon

#endif
