#ifndef DAEMON_TEST_SUPPORT_SOCKET_WATCH_H
#define DAEMON_TEST_SUPPORT_SOCKET_WATCH_H

#include "daemon/entry/caller_watch.h"

namespace magnolia::daemon::test {

// Watch of a caller that is gone once the other end of its socket closes. A
// negative descriptor stands for a caller that never leaves.
class SocketWatch final : public CallerWatch {
public:
  explicit SocketWatch(int Socket = -1) : Socket(Socket) {}

  [[nodiscard]] pollfd entry() const override {
    return {.fd = Socket, .events = POLLRDHUP, .revents = 0};
  }
  [[nodiscard]] FiberSignal *signal() override { return nullptr; }
  void afterWait(short Seen, policy::TimePoint /*Now*/) override {
    Gone = Gone || Seen != 0;
  }
  [[nodiscard]] bool isGone() const override { return Gone; }

private:
  int Socket;
  bool Gone = false;
};

} // namespace magnolia::daemon::test

#endif
