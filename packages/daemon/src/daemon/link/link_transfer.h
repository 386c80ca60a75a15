#ifndef DAEMON_LINK_LINK_TRANSFER_H
#define DAEMON_LINK_LINK_TRANSFER_H

#include "daemon/link/link_pacer.h"
#include "daemon/peer/call.h"

#include <cstddef>

namespace magnolia::daemon {

// Share of one request in the link of the node, from its acceptance until its
// response has been sent.
class LinkTransfer {
public:
  LinkTransfer(LinkPacer &Link, const CallRequest &Request,
               policy::TimePoint Now)
      : Link(Link), Accepted(Link.begin({.Deadline = Request.Deadline,
                                         .Objective = Request.Objective},
                                        Now)) {}
  ~LinkTransfer() {
    if (Accepted) {
      Link.end(BodyBytes);
    }
  }
  LinkTransfer(const LinkTransfer &) = delete;
  LinkTransfer &operator=(const LinkTransfer &) = delete;

  [[nodiscard]] bool accepted() const { return Accepted; }
  void setBodyBytes(std::size_t Bytes) { BodyBytes = Bytes; }

private:
  LinkPacer &Link;
  const bool Accepted;
  std::size_t BodyBytes = 0;
};

} // namespace magnolia::daemon

#endif
