#include "daemon/control/gossip_socket.h"

#include "daemon/log/guarded.h"
#include "policy/core/error.h"
#include "wire/seal/seal.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <utility>
#include <wire/gossip.pb.h>

namespace magnolia::daemon {

namespace {

// Largest datagram in bytes; it fits an Ethernet frame without fragmentation.
// The sender's record and that of the receiver fit even if their names are as
// long as allowed, without fragments on an Ethernet link.
constexpr std::size_t MaximumDatagram = 1400;
// Interval at which an idle receiver checks for a stop request.
constexpr timeval ReceiveTimeout = {.tv_sec = 0, .tv_usec = 200000};

std::optional<sockaddr_in> socketAddress(const std::string &Address,
                                         std::uint16_t Port) {
  sockaddr_in Result = {};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Port);
  if (inet_pton(AF_INET, Address.c_str(), &Result.sin_addr) != 1) {
    return std::nullopt;
  }
  return Result;
}

} // namespace

std::unique_ptr<GossipSocket> GossipSocket::open(const std::string &Address,
                                                 std::uint16_t Port,
                                                 wire::ClusterKey Key,
                                                 GossipHandler Handler,
                                                 policy::Error &LastError) {
  const auto Local = socketAddress(Address, Port);
  const int Descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (!Local || Descriptor < 0 ||
      bind(Descriptor, reinterpret_cast<const sockaddr *>(&*Local),
           sizeof(*Local)) != 0) {
    LastError = {policy::ErrorKind::Internal, "cannot bind UDP " + Address +
                                                  ":" + std::to_string(Port) +
                                                  ": " + std::strerror(errno)};
    if (Descriptor >= 0) {
      close(Descriptor);
    }
    return nullptr;
  }
  setsockopt(Descriptor, SOL_SOCKET, SO_RCVTIMEO, &ReceiveTimeout,
             sizeof(ReceiveTimeout));
  return std::unique_ptr<GossipSocket>(
      new GossipSocket(Descriptor, std::move(Key), std::move(Handler)));
}

GossipSocket::GossipSocket(int Descriptor, wire::ClusterKey Key,
                           GossipHandler Handler)
    : Descriptor(Descriptor), Key(std::move(Key)), Handler(std::move(Handler)),
      Receiver([this] { receiveLoop(); }) {}

GossipSocket::~GossipSocket() {
  Stopping = true;
  Receiver.join();
  close(Descriptor);
}

void GossipSocket::send(const std::string &Address, std::uint16_t Port,
                        const wire::GossipDatagram &Datagram) {
  const auto Remote = socketAddress(Address, Port);
  const std::string Packet =
      wire::sealDatagram(Key, Datagram.SerializeAsString());
  if (!Remote || Packet.size() > MaximumDatagram) {
    ++Oversized;
    return;
  }
  const ssize_t Sent =
      sendto(Descriptor, Packet.data(), Packet.size(), 0,
             reinterpret_cast<const sockaddr *>(&*Remote), sizeof(*Remote));
  if (Sent > 0) {
    BytesSent += static_cast<std::uint64_t>(Sent);
  }
}

void GossipSocket::receiveLoop() {
  std::array<char, MaximumDatagram + 1> Buffer;
  while (!Stopping) {
    const ssize_t Size = recv(Descriptor, Buffer.data(), Buffer.size(), 0);
    if (Size <= 0) {
      continue;
    }
    BytesReceived += static_cast<std::uint64_t>(Size);
    (void)runGuarded("datagram", [&] {
      handle({Buffer.data(), static_cast<std::size_t>(Size)});
    });
  }
}

void GossipSocket::handle(std::string_view Packet) {
  wire::GossipDatagram Datagram;
  const std::optional<std::string_view> Body = wire::openDatagram(Key, Packet);
  if (Packet.size() > MaximumDatagram || !Body ||
      !Datagram.ParseFromArray(Body->data(), static_cast<int>(Body->size()))) {
    ++Dropped;
    return;
  }
  Handler(std::move(Datagram));
}

} // namespace magnolia::daemon
