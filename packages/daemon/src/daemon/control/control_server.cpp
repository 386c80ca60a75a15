#include "daemon/control/control_server.h"

#include "daemon/control/control_frames.h"
#include "daemon/net/clock.h"
#include "daemon/net/socket.h"
#include "policy/core/error.h"
#include "wire/seal/control_seal.h"

#include <sys/eventfd.h>

#include <array>
#include <chrono>
#include <mutex>
#include <optional>
#include <utility>

namespace magnolia::daemon {

namespace {

constexpr std::size_t MaximumConnections = 256;
constexpr policy::Duration IdleTimeout = std::chrono::seconds(10);
// Maximum time for the bytes of one message to arrive or leave.
constexpr policy::Duration TransferTimeout = std::chrono::seconds(5);
// Maximum time for the control thread to respond.
constexpr policy::Duration HandlerTimeout = std::chrono::seconds(30);

// Response of the handler, which may come after the connection has closed.
struct PendingReply {
  UniqueFd Ready{::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)};
  std::mutex Mutex;
  std::optional<wire::ControlBody> Response;

  void set(wire::ControlBody Sent) {
    const std::lock_guard Lock(Mutex);
    Response = std::move(Sent);
    ::eventfd_write(Ready.fd(), 1);
  }

  [[nodiscard]] std::optional<wire::ControlBody> take() {
    const std::lock_guard Lock(Mutex);
    return std::move(Response);
  }
};

// Returns nothing if the caller closes the connection before the response.
std::optional<wire::ControlBody> awaitReply(PendingReply &Reply, int Fd) {
  std::array<pollfd, 2> Fds = {
      {{.fd = Reply.Ready.fd(), .events = POLLIN, .revents = 0},
       {.fd = Fd, .events = POLLRDHUP, .revents = 0}}};
  (void)waitReady(Fds, now() + HandlerTimeout, {});
  return Fds[0].revents != 0 ? Reply.take() : std::nullopt;
}

} // namespace

std::unique_ptr<ControlServer>
ControlServer::open(const ControlEndpoint &Listen, std::string ClusterKey,
                    ControlHandler Handler, FiberPool &Fibers,
                    policy::Error &LastError) {
  std::unique_ptr<ControlServer> Opened(new ControlServer(
      Listen, std::move(ClusterKey), std::move(Handler), Fibers));
  return Opened->Connections.start(LastError) ? std::move(Opened) : nullptr;
}

ControlServer::ControlServer(const ControlEndpoint &Listen, std::string Secret,
                             ControlHandler Handle, FiberPool &Fibers)
    : ClusterKey(std::move(Secret)), Handler(std::move(Handle)),
      Connections({.Address = Listen.Address,
                   .Port = Listen.Port,
                   .Maximum = MaximumConnections,
                   .Serve = [this](const Session &S) { serve(S); },
                   .Refuse = {},
                   .Fibers = &Fibers}) {}

void ControlServer::serve(const Session &Accepted) {
  ControlFrames Incoming(Accepted.fd());
  wire::SealedMessage Request;
  while (Incoming.hasBytes() || Accepted.waitForRequest(now() + IdleTimeout)) {
    if (!Incoming.receive(Request, now() + TransferTimeout)) {
      return;
    }
    BytesReceived += Request.ByteSizeLong();
    if (!answer(Accepted.fd(), Request)) {
      return;
    }
  }
}

bool ControlServer::answer(int Fd, const wire::SealedMessage &Request) {
  policy::Error LastError;
  std::optional<wire::ControlBody> Body =
      wire::open(ClusterKey, Request, LastError);
  if (!Body) {
    ++Refused;
    return false;
  }
  const auto Reply = std::make_shared<PendingReply>();
  if (!Handler(std::move(*Body), [Reply](wire::ControlBody Response) {
        Reply->set(std::move(Response));
      })) {
    ++Refused;
    return false;
  }
  const std::optional<wire::ControlBody> Response = awaitReply(*Reply, Fd);
  if (!Response) {
    return false;
  }
  const wire::SealedMessage Sealed = wire::seal(ClusterKey, *Response);
  BytesSent += Sealed.ByteSizeLong();
  return sendControlFrame(Fd, Sealed, now() + TransferTimeout);
}

} // namespace magnolia::daemon
