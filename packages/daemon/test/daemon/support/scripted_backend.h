#ifndef DAEMON_TEST_SUPPORT_SCRIPTED_BACKEND_H
#define DAEMON_TEST_SUPPORT_SCRIPTED_BACKEND_H

#include "daemon/net/clock.h"
#include "daemon/net/connection_server.h"
#include "daemon/net/socket.h"

#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::daemon::test {

inline constexpr std::chrono::seconds TestTimeout{10};

// Backend server whose responses are raw bytes, computed from the raw request
// by a function. An empty response closes the connection; the text "hang" keeps
// it open until the peer closes it. After a response that
// contains [cut] the connection is closed, after one that contains [reset] it
// is reset.
class ScriptedBackend {
public:
  using Script = std::function<std::string(const std::string &Request)>;

  explicit ScriptedBackend(Script Given)
      : Respond(std::move(Given)),
        Server({.Address = "127.0.0.1",
                .Port = 0,
                .Maximum = 64,
                .Serve = [this](Session &S) { serve(S); },
                .Refuse = {}}) {
    policy::Error LastError;
    Started = Server.start(LastError);
  }

  [[nodiscard]] std::uint16_t port() const { return Server.port(); }
  [[nodiscard]] std::vector<std::string> requests() const {
    const std::lock_guard Lock(Mutex);
    return Requests;
  }

  std::atomic<int> Hanging = 0;
  bool Started = false;

private:
  void serve(Session &Accepted) {
    std::string Bytes;
    for (;;) {
      const std::size_t End = wholeRequest(Bytes);
      if (End == 0) {
        if (!readMore(Accepted.fd(), Bytes)) {
          return;
        }
        continue;
      }
      const std::string Request = Bytes.substr(0, End);
      Bytes.erase(0, End);
      {
        const std::lock_guard Lock(Mutex);
        Requests.push_back(Request);
      }
      const std::string Raw = Respond(Request);
      if (Raw == "hang") {
        ++Hanging;
        while (readMore(Accepted.fd(), Bytes)) {
        }
        return;
      }
      if (Raw.find("[reset]") != std::string::npos) {
        reset(Accepted.fd(), Raw);
        return;
      }
      if (Raw.empty() ||
          !sendAll(Accepted.fd(), Raw, {}, now() + TestTimeout) ||
          Raw.find("[cut]") != std::string::npos) {
        return;
      }
    }
  }

  // Sends the bytes and sets a zero linger time, so that the close that follows
  // resets the connection.
  static void reset(int Fd, const std::string &Raw) {
    (void)sendAll(Fd, Raw, {}, now() + TestTimeout);
    const linger Abort{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Abort, sizeof Abort);
  }

  static std::size_t wholeRequest(const std::string &Bytes) {
    const std::size_t Head = Bytes.find("\r\n\r\n");
    if (Head == std::string::npos) {
      return 0;
    }
    const std::size_t Field = Bytes.find("Content-Length: ");
    const std::size_t Length =
        Field < Head ? std::stoul(Bytes.substr(Field + 16, 20)) : 0;
    const std::size_t End = Head + 4 + Length;
    return Bytes.size() >= End ? End : 0;
  }

  static bool readMore(int Fd, std::string &Bytes) {
    char Space[4096];
    if (!waitReadable(Fd, now() + TestTimeout)) {
      return false;
    }
    const auto Count = receiveSome(Fd, Space);
    Bytes.append(Space, static_cast<std::size_t>(std::max<long>(Count, 0)));
    return Count >= 0;
  }

  const Script Respond;
  mutable std::mutex Mutex;
  std::vector<std::string> Requests;
  ConnectionServer Server;
};

// Returns a response with the body.
inline std::string plainResponse(const std::string &Body,
                                 const std::string &Headers = {}) {
  return "HTTP/1.1 200 OK\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace magnolia::daemon::test

#endif
