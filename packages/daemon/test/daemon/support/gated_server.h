#ifndef DAEMON_TEST_SUPPORT_GATED_SERVER_H
#define DAEMON_TEST_SUPPORT_GATED_SERVER_H

#include "daemon/entry/http_service.h"
#include "daemon/memory/body_memory.h"
#include "daemon/net/clock.h"
#include "daemon/net/fiber_pool.h"
#include "daemon/net/socket.h"

#include <sys/eventfd.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace magnolia::daemon::test {

// HTTP service on fibers whose requests end when the test releases their path.
// GET requests may overlap. The response body is the path, "/big", "/busy",
// "/large" and "/close-large" have larger ones, "/busy" occupies its thread
// until the test ends it, "/close" closes the connection, "/throw" throws.
class GatedServer {
public:
  static constexpr std::chrono::seconds Timeout{10};
  static constexpr std::size_t BigBytes = std::size_t{32} << 20;
  static constexpr std::size_t LargeBytes = 60'000;
  static constexpr std::size_t MaximumConnections = 8;

  explicit GatedServer(const policy::PipelineLimits &Limits,
                       std::size_t PipelineFibers = 64,
                       policy::Duration Idle = Timeout)
      : Service(
            [this](const HttpRequest &Request, CallerWatch &From) {
              return handle(Request, From);
            },
            Counts, nativeDialect(),
            {.Limits = {.HeadBytes = 16'384, .BodyBytes = 16'384},
             .Memory = &Bodies,
             .Idle = Idle,
             .Read = Timeout,
             .Pipeline = Limits,
             .PipelineFibers = PipelineFibers},
            {},
            [](const HttpRequest &Request) { return Request.Method == "GET"; }),
        Server({.Address = "127.0.0.1",
                .Port = 0,
                .Maximum = MaximumConnections,
                .Serve = [this](Session &S) { Service.serve(S); },
                .Refuse = [this](Session &S) { Service.refuse(S); },
                .Fibers = &Fibers}) {
    policy::Error LastError;
    EXPECT_TRUE(Server.start(LastError)) << LastError.Detail;
  }

  ~GatedServer() {
    Server.stopAccepting();
    Server.shutDownAll();
    EXPECT_TRUE(Server.drain(now() + Timeout));
  }

  [[nodiscard]] UniqueFd connect() const {
    return connectTcp("127.0.0.1", Server.port(), now() + Timeout);
  }

  // Lets the request with the path end, now or when it starts.
  void release(const std::string &Path) { ::eventfd_write(gate(Path), 1); }

  // Waits for an event such as "start /a", "end /a" or "cancel /a".
  void await(const std::string &Event) {
    std::unique_lock Lock(Mutex);
    EXPECT_TRUE(Changed.wait_for(Lock, Timeout, [&] {
      return std::find(Log.begin(), Log.end(), Event) != Log.end();
    })) << Event;
  }

  void releaseAndAwait(const std::string &Path) {
    release(Path);
    await("end " + Path);
  }

  [[nodiscard]] std::vector<std::string> log() {
    const std::lock_guard Lock(Mutex);
    return Log;
  }
  [[nodiscard]] policy::TimePoint arrived(const std::string &Path) {
    const std::lock_guard Lock(Mutex);
    return Arrived[Path];
  }

  std::atomic<bool> BusyEnded = false;
  BodyMemory Bodies{std::size_t{256} << 20};
  Metrics Counts;
  FiberPool Fibers{1, {}};
  HttpService Service;
  ConnectionServer Server;

private:
  int gate(const std::string &Path) {
    const std::lock_guard Lock(Mutex);
    UniqueFd &Gate = Gates[Path];
    if (!Gate.valid()) {
      Gate = UniqueFd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    }
    return Gate.fd();
  }

  void record(const std::string &Event) {
    const std::lock_guard Lock(Mutex);
    Log.push_back(Event);
    Changed.notify_all();
  }

  static std::string bodyOf(const std::string &Path) {
    if (Path == "/big" || Path == "/busy") {
      return std::string(BigBytes, 'b');
    }
    const bool IsLarge =
        Path.starts_with("/large") || Path.starts_with("/close-large");
    return IsLarge ? std::string(LargeBytes, 'l') : Path;
  }

  HttpResponse handle(const HttpRequest &Request, CallerWatch &From) {
    const std::string Path = Request.Target;
    {
      const std::lock_guard Lock(Mutex);
      Arrived[Path] = Request.Arrived;
    }
    record("start " + Path);
    while (Path == "/busy" && !BusyEnded) {
      std::this_thread::yield();
    }
    const int Gate = gate(Path);
    for (short Open = BusyEnded ? 1 : 0; Open == 0 && !From.isGone();) {
      std::array<pollfd, 2> Fds = {
          {{.fd = Gate, .events = POLLIN, .revents = 0}, From.entry()}};
      if (!waitReady(Fds, now() + Timeout, {}, From.signal())) {
        break;
      }
      Open = Fds[0].revents;
      From.afterWait(Fds[1].revents, now());
    }
    record((From.isGone() ? "cancel " : "end ") + Path);
    if (Path == "/throw") {
      throw std::runtime_error("thrown by the test");
    }
    HttpResponse Response;
    Response.KeepAlive = !Path.starts_with("/close");
    Response.Body = bodyOf(Path);
    return Response;
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::string> Log;
  std::map<std::string, UniqueFd> Gates;
  std::map<std::string, policy::TimePoint> Arrived;
};

// Caller on one connection.
class GatedCaller {
public:
  explicit GatedCaller(const GatedServer &Server) : Fd(Server.connect()) {}
  explicit GatedCaller(UniqueFd Connection) : Fd(std::move(Connection)) {}

  void send(std::string_view Bytes) const {
    EXPECT_TRUE(sendAll(Fd.fd(), Bytes, {}, now() + GatedServer::Timeout));
  }
  void close() { Fd.reset(); }
  [[nodiscard]] int fd() const { return Fd.fd(); }

  // Returns the next response, or one with status 0 if the connection ended.
  [[nodiscard]] HttpResponse receive() {
    Reader.begin();
    for (;;) {
      const HttpReadStatus Status = Reader.read();
      if (Status == HttpReadStatus::Ready) {
        return Reader.takeResponse();
      }
      const std::span<char> Space = Reader.prepare();
      const auto Count = receiveSome(Fd.fd(), Space);
      if (Status != HttpReadStatus::NeedMore || Count < 0 ||
          (Count == 0 &&
           !waitReadable(Fd.fd(), now() + GatedServer::Timeout))) {
        HttpResponse None;
        None.Status = 0;
        return None;
      }
      Reader.commit(static_cast<std::size_t>(std::max<long>(Count, 0)));
    }
  }
  [[nodiscard]] std::string body() { return receive().Body; }

private:
  UniqueFd Fd;
  HttpReader Reader{HttpReader::Kind::Response,
                    {.HeadBytes = 65'536, .BodyBytes = std::size_t{1} << 30}};
};

inline std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\n\r\n";
}

inline std::string post(const std::string &Path) {
  return "POST " + Path + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
}

} // namespace magnolia::daemon::test

#endif
