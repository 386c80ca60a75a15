#ifndef DAEMON_NET_CONNECTION_SERVER_H
#define DAEMON_NET_CONNECTION_SERVER_H

#include "daemon/net/unique_fd.h"
#include "policy/core/error.h"
#include "policy/core/types.h"
#include "policy/linger/linger_limits.h"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace magnolia::daemon {

class FiberPool;

// One accepted connection, served by one thread or fiber.
class Session {
public:
  Session(UniqueFd Accepted, int StopFd)
      : Socket(std::move(Accepted)), StopFd(StopFd) {}

  [[nodiscard]] int fd() const { return Socket.fd(); }

  // Waits for the first bytes of a request. Returns false if the deadline
  // passes, or if the server stops and no bytes have arrived. Only the thread
  // or fiber that serves the connection ends it, so that a stop cannot
  // interrupt a request that has just arrived.
  [[nodiscard]] bool waitForRequest(policy::TimePoint Deadline) const;

  // Tells how the connection is closed, and when output was sent on it last.
  void setLinger(const policy::LingerLimits &Limits) { Closing = Limits; }
  void onOutput(policy::TimePoint Now) { LastOutput = Now; }

private:
  friend class ConnectionServer;

  UniqueFd Socket;
  policy::LingerLimits Closing;
  policy::TimePoint LastOutput = policy::TimePoint::min();
  // True if the connection exceeds the maximum and is only told so.
  bool IsRefused = false;
  // True once the connection only waits for its output to arrive. Guarded by
  // the mutex of the server.
  bool IsLingering = false;
  // Becomes readable when the server stops.
  int StopFd;
};

// Accepts connections up to a maximum and serves each on its own fiber or
// thread. A connection whose service has ended stays open until its output has
// arrived, so that no response is cut.
class ConnectionServer {
public:
  struct Options {
    std::string Address;
    std::uint16_t Port = 0;
    std::size_t Maximum = 1;
    // Serves a connection until it closes.
    std::function<void(Session &)> Serve;
    // Sends the reason to a connection that is closed because the maximum is
    // reached; may be empty.
    std::function<void(Session &)> Refuse;
    // Runs the fibers and must outlive the server. If null, each connection
    // gets a thread, for handlers that block.
    FiberPool *Fibers = nullptr;
  };

  explicit ConnectionServer(Options Opts);
  ~ConnectionServer();

  ConnectionServer(const ConnectionServer &) = delete;
  ConnectionServer &operator=(const ConnectionServer &) = delete;

  [[nodiscard]] bool start(policy::Error &LastError);

  // Accepts the connections that are established already and then no more.
  void stopAccepting();
  // Shuts down all connections immediately.
  void shutDownAll();
  // Closes each connection once it is idle and waits until all are closed.
  // Returns false if some are still being served at the deadline.
  [[nodiscard]] bool drain(policy::TimePoint Deadline);

  // False once stopAccepting has been called.
  [[nodiscard]] bool accepting() const { return !Stopping; }
  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] std::size_t connections() const;
  [[nodiscard]] std::uint64_t refused() const;

private:
  void acceptLoop();
  // Waits for a connection or the stop.
  void awaitConnection();
  void startServing(std::list<Session>::iterator It);
  void accepted(UniqueFd Fd);
  // Ends the oldest connection that only lingers. Returns false if none does.
  // The mutex must be held.
  bool endLingering();
  void serve(std::list<Session>::iterator It);
  void serveOrRefuse(Session &Open);

  const Options Opts;
  UniqueFd Listener;
  UniqueFd StopFd;
  // Becomes readable when no more connections are accepted.
  UniqueFd AcceptWake;
  std::thread Acceptor;
  // Guarded by the mutex.
  bool Accepting = false;
  std::atomic<bool> Stopping = false;
  std::atomic<std::uint64_t> Refused = 0;
  mutable std::mutex Mutex;
  std::condition_variable Ended;
  std::list<Session> Sessions;
  // Sessions that are refused; they do not count towards the maximum.
  std::size_t Refusals = 0;
};

} // namespace magnolia::daemon

#endif
