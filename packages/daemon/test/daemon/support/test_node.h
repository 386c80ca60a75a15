#ifndef DAEMON_TEST_SUPPORT_TEST_NODE_H
#define DAEMON_TEST_SUPPORT_TEST_NODE_H

#include "scripted_backend.h"

#include "daemon/node/node.h"

#include <unistd.h>

#include <memory>
#include <stdexcept>
#include <string>

namespace magnolia::daemon::test {

inline const wire::ClusterKey Key{.Bytes = "0123456789abcdef"};

// Returns a port without a listener. It is below the ephemeral port range, from
// which another program could take the port between this check and the start of
// the node.
inline std::uint16_t freePort() {
  constexpr unsigned First = 20'000;
  constexpr unsigned Count = 12'000;
  constexpr unsigned ProcessStride = 101;
  static unsigned Tried = 0;
  for (;;) {
    const unsigned Offset =
        static_cast<unsigned>(::getpid()) * ProcessStride + Tried++;
    const auto Port = static_cast<std::uint16_t>(First + Offset % Count);
    policy::Error LastError;
    if (listenTcp("127.0.0.1", Port, LastError).valid()) {
      return Port;
    }
  }
}

// Returns the settings of a node on free ports of the loopback interface. The
// peer port must be known before the start, because the node id depends on it.
inline settings::NodeSettings nodeSettings() {
  using std::chrono::milliseconds;
  settings::NodeSettings Made;
  Made.Address = "127.0.0.1";
  Made.PeerPort = freePort();
  Made.Zone = "a";
  Made.BodyBytes = Made.ResponseBytes = std::size_t{8} << 20;
  Made.HeaderBytes = 16'384;
  Made.HeldConnections = Made.PeerConnections = 64;
  Made.IdlePeerConnections = 8;
  Made.WaitQueue = 8;
  Made.LedgerEntries = 1024;
  Made.Hops = 17;
  Made.Deadline = Made.DeadlineMaximum = milliseconds(10'000);
  Made.CallerIdle = Made.CallerRead = milliseconds(10'000);
  Made.ConnectTimeout = milliseconds(2000);
  Made.PeerIdle = milliseconds(10'000);
  Made.PingAfter = milliseconds(50);
  Made.PingTimeout = milliseconds(100);
  Made.LostAfter = milliseconds(200);
  Made.FenceTimeout = milliseconds(2000);
  Made.LoadPoll = milliseconds(10'000);
  Made.ShutdownTimeout = milliseconds(10'000);
  return Made;
}

// Running node, with an announced backend server if its port is given.
struct TestNode {
  explicit TestNode(settings::NodeSettings Given, std::uint16_t BackendPort = 0,
                    const Dialect &Speaks = nativeDialect())
      : Running(std::move(Given), Key, Speaks) {
    policy::Error LastError;
    Started = Running.start(LastError);
    if (!Started) {
      throw std::runtime_error("the node did not start: " + LastError.Detail);
    }
    if (BackendPort != 0) {
      Announced = ask(announcement(BackendPort));
    }
  }

  static std::string announcement(std::uint16_t Port) {
    const std::string Body = R"({"service":"stock","version":"1","port":)" +
                             std::to_string(Port) +
                             R"(,"slots":4,"connections":8,"incarnation":1})";
    return "POST /-/backend HTTP/1.1\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  [[nodiscard]] UniqueFd connect() const {
    return connectTcp("127.0.0.1", Running.httpPort(), now() + TestTimeout);
  }

  // Sends a raw request on a new connection and returns the response.
  [[nodiscard]] std::string ask(const std::string &Request) const {
    const UniqueFd Fd = connect();
    return sendAll(Fd.fd(), Request, {}, now() + TestTimeout)
               ? readResponse(Fd.fd())
               : std::string();
  }

  // Returns the bytes up to the end of one response or of the connection.
  static std::string readResponse(int Fd) {
    HttpReader Reader(HttpReader::Kind::Response,
                      {.HeadBytes = 65'536, .BodyBytes = std::size_t{1} << 30});
    std::string Bytes;
    for (;;) {
      const std::span<char> Space = Reader.prepare();
      const auto Count = receiveSome(Fd, Space);
      if (Count < 0 || (Count == 0 && !waitReadable(Fd, now() + TestTimeout))) {
        return Bytes;
      }
      Bytes.append(Space.data(), static_cast<std::size_t>(Count));
      Reader.commit(static_cast<std::size_t>(Count));
      if (Reader.read() != HttpReadStatus::NeedMore) {
        return Bytes;
      }
    }
  }

  Node Running;
  bool Started = false;
  std::string Announced;
};

// Returns a raw request to the service "stock".
inline std::string request(const std::string &Method, const std::string &Path,
                           const std::string &Body = {},
                           const std::string &Headers = {}) {
  return Method + " " + Path + " HTTP/1.1\r\nMagnolia-Service: stock\r\n" +
         Headers + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

} // namespace magnolia::daemon::test

#endif
