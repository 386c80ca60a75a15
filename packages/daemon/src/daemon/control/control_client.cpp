#include "daemon/control/control_client.h"

#include "daemon/control/control_frames.h"
#include "daemon/net/clock.h"
#include "daemon/net/fiber_pool.h"
#include "daemon/net/socket.h"
#include "policy/core/error.h"
#include "wire/seal/control_seal.h"

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace magnolia::daemon {

namespace {

constexpr int MaximumCallsInFlight = 64;
constexpr std::size_t MaximumIdle = 8;
// Shorter than the idle timeout of the server, so that a call does not meet the
// server's close.
constexpr policy::Duration LongestIdle = std::chrono::seconds(5);
constexpr policy::Duration ConnectTimeout = std::chrono::seconds(1);

// Counts a call as ended, also if its callback throws.
struct CallEnd {
  std::atomic<int> &InFlight;

  explicit CallEnd(std::atomic<int> &Counter) : InFlight(Counter) {}
  CallEnd(const CallEnd &) = delete;
  CallEnd &operator=(const CallEnd &) = delete;
  ~CallEnd() {
    InFlight.fetch_sub(1);
    InFlight.notify_all();
  }
};

} // namespace

ControlClient::ControlClient(std::string Secret, policy::NodeId Self,
                             FiberPool &Fibers)
    : ClusterKey(std::move(Secret)), Self(Self), Fibers(Fibers) {}

ControlClient::~ControlClient() {
  {
    const std::lock_guard Lock(Mutex);
    Closing = true;
    for (const int Fd : LongCalls) {
      ::shutdown(Fd, SHUT_RDWR);
    }
  }
  for (int Pending = InFlight; Pending != 0; Pending = InFlight) {
    InFlight.wait(Pending);
  }
}

void ControlClient::call(const ControlEndpoint &Target, wire::ControlBody Body,
                         ControlCallback Callback, policy::Duration Timeout) {
  if (InFlight.fetch_add(1) >= MaximumCallsInFlight) {
    InFlight.fetch_sub(1);
    ++Refused;
    Callback(std::nullopt);
    return;
  }
  Body.set_from(Self);
  auto Request =
      std::make_shared<const wire::SealedMessage>(wire::seal(ClusterKey, Body));
  BytesSent += Request->ByteSizeLong();
  Fibers.spawn([this, Target, Request = std::move(Request),
                Callback = std::move(Callback), Deadline = now() + Timeout,
                Long = Timeout > ControlCallTimeout] {
    const CallEnd End(InFlight);
    Callback(exchange(Target, *Request, Deadline, Long));
  });
}

std::optional<wire::ControlBody>
ControlClient::exchange(const ControlEndpoint &Target,
                        const wire::SealedMessage &Request,
                        policy::TimePoint Deadline, bool Long) {
  UniqueFd Socket = takeIdle(Target);
  if (!Socket.valid()) {
    Socket = connectTcp(Target.Address, Target.Port,
                        std::min(Deadline, now() + ConnectTimeout));
  }
  if (!Socket.valid() || (Long && !beginLong(Socket.fd()))) {
    return std::nullopt;
  }
  wire::SealedMessage Sealed;
  ControlFrames Incoming(Socket.fd());
  const bool Received = sendControlFrame(Socket.fd(), Request, Deadline) &&
                        Incoming.receive(Sealed, Deadline);
  if (Long) {
    endLong(Socket.fd());
  }
  if (!Received) {
    // The other connections to this node may be silent as well.
    closeIdle(Target);
    return std::nullopt;
  }
  if (!Incoming.hasBytes()) {
    keep(Target, std::move(Socket));
  }
  policy::Error LastError;
  return wire::open(ClusterKey, Sealed, LastError);
}

bool ControlClient::beginLong(int Fd) {
  const std::lock_guard Lock(Mutex);
  if (Closing) {
    return false;
  }
  LongCalls.push_back(Fd);
  return true;
}

void ControlClient::endLong(int Fd) {
  const std::lock_guard Lock(Mutex);
  LongCalls.remove(Fd);
}

UniqueFd ControlClient::takeIdle(const ControlEndpoint &Target) {
  const policy::TimePoint Oldest = now() - LongestIdle;
  const std::lock_guard Lock(Mutex);
  Idle.remove_if(
      [Oldest](const IdleConnection &Next) { return Next.Since < Oldest; });
  for (auto It = Idle.begin(); It != Idle.end();) {
    if (It->Target != Target) {
      ++It;
      continue;
    }
    UniqueFd Socket = std::move(It->Socket);
    It = Idle.erase(It);
    if (isUsable(Socket.fd())) {
      return Socket;
    }
  }
  return {};
}

void ControlClient::keep(const ControlEndpoint &Target, UniqueFd Socket) {
  const std::lock_guard Lock(Mutex);
  Idle.push_front(
      {.Target = Target, .Socket = std::move(Socket), .Since = now()});
  if (Idle.size() > MaximumIdle) {
    Idle.pop_back();
  }
}

void ControlClient::closeIdle(const ControlEndpoint &Target) {
  const std::lock_guard Lock(Mutex);
  Idle.remove_if(
      [&Target](const IdleConnection &Next) { return Next.Target == Target; });
}

} // namespace magnolia::daemon
