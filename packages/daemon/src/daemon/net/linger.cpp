#include "daemon/net/linger.h"

#include "daemon/net/clock.h"
#include "daemon/net/socket.h"
#include "policy/linger/plan_linger.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>

namespace magnolia::daemon {

namespace {

constexpr std::size_t DropBufferBytes = 4096;
// Reads between two waits, so that a fast sender does not hold up others.
constexpr int ReadsPerTurn = 64;

constexpr short ClosedEvents = POLLRDHUP | POLLHUP | POLLERR;

// Returns true if the remote side has acknowledged all output and its end.
bool isDelivered(int Fd) {
  int Unacknowledged = 0;
  return ::ioctl(Fd, SIOCOUTQ, &Unacknowledged) == 0 && Unacknowledged == 0;
}

void dropInput(int Fd, policy::LingerState &State) {
  std::array<char, DropBufferBytes> Buffer;
  for (int Reads = 0; Reads < ReadsPerTurn; ++Reads) {
    const auto Count = receiveSome(Fd, Buffer);
    if (Count < 0) {
      State.Ended = true;
    }
    if (Count <= 0) {
      return;
    }
    State.Dropped += static_cast<std::size_t>(Count);
  }
}

} // namespace

void linger(int Fd, const policy::LingerLimits &Limits,
            policy::TimePoint LastOutput) {
  if (Limits.Longest <= policy::Duration{0} || ::shutdown(Fd, SHUT_WR) != 0) {
    return;
  }
  const bool Drops = Limits.DropBytes > 0;
  pollfd Entry{.fd = Fd,
               .events = static_cast<short>(POLLRDHUP | (Drops ? POLLIN : 0)),
               .revents = 0};
  policy::LingerState State{.Began = now(), .LastOutput = LastOutput};
  (void)::poll(&Entry, 1, 0);
  for (;;) {
    // A remote side that has ended its output sends none of its requests again
    // on this connection.
    if (Drops || (Entry.revents & ClosedEvents) != 0) {
      dropInput(Fd, State);
    }
    const policy::TimePoint Now = now();
    if (!State.Delivered) {
      State.Delivered = isDelivered(Fd);
      State.LastOutput = State.Delivered ? State.LastOutput : Now;
    }
    if (policy::mayClose(State, Limits, Now)) {
      return;
    }
    (void)waitReady({&Entry, 1}, policy::nextLingerCheck(State, Limits, Now),
                    {});
  }
}

} // namespace magnolia::daemon
