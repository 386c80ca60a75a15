#ifndef DAEMON_NET_CONNECTION_SERVER_H
#define DAEMON_NET_CONNECTION_SERVER_H

#include "daemon/net/unique_fd.h"
#include "policy/core/error.h"
#include "policy/core/types.h"

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

  // Waits for the first bytes of a request. False: the deadline passed, or the
  // server stops and no bytes have arrived. Only who serves the connection
  // ends it, so that a stop cannot cut a request that has just
  // arrived.
  [[nodiscard]] bool waitForRequest(policy::TimePoint Deadline) const;

private:
  UniqueFd Socket;
  // Readable once the server stops.
  int StopFd;
};

// Accepts connections and gives each a fiber or a thread of its own, up to a
// maximum.
class ConnectionServer {
public:
  struct Options {
    std::string Address;
    std::uint16_t Port = 0;
    std::size_t Maximum = 1;
    // Serves a connection to its end.
    std::function<void(Session &)> Serve;
    // Tells a connection over the maximum why it is closed; may be empty.
    std::function<void(int Fd)> Refuse;
    // Runs the fibers and outlives the server. Null: a thread for each
    // connection, for work that blocks.
    FiberPool *Fibers = nullptr;
  };

  explicit ConnectionServer(Options Given);
  ~ConnectionServer();

  ConnectionServer(const ConnectionServer &) = delete;
  ConnectionServer &operator=(const ConnectionServer &) = delete;

  [[nodiscard]] bool start(policy::Error &LastError);

  // Accepts no more connections.
  void stopAccepting();
  // Breaks every connection.
  void breakAll();
  // Ends each connection once it is idle and waits until all are closed. False
  // where some are still served at the deadline.
  [[nodiscard]] bool drain(policy::TimePoint Deadline);

  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] std::size_t connections() const;
  [[nodiscard]] std::uint64_t refused() const;

private:
  void acceptLoop();
  void startServing(std::list<Session>::iterator Place);
  void accepted(UniqueFd Fd);
  void serve(std::list<Session>::iterator Place);

  const Options Given;
  UniqueFd Listener;
  UniqueFd StopFd;
  std::thread Acceptor;
  // Guarded by the mutex.
  bool Accepting = false;
  std::atomic<bool> Stopping = false;
  std::atomic<std::uint64_t> Refused = 0;
  mutable std::mutex Mutex;
  std::condition_variable Ended;
  std::list<Session> Sessions;
};

} // namespace magnolia::daemon

#endif
