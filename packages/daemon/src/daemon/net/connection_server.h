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

// One accepted connection, served by one thread.
class Session {
public:
  explicit Session(UniqueFd Accepted) : Socket(std::move(Accepted)) {}

  [[nodiscard]] int fd() const { return Socket.fd(); }

  // True from the first byte of a request to the end of its answer. An idle
  // connection may be closed by a stop.
  std::atomic<bool> Busy = false;

private:
  UniqueFd Socket;
};

// Accepts connections and gives each a thread of its own, up to a maximum.
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
  // Ends the input of each connection once it is idle, so that its thread
  // closes it, and waits until all are closed. False where some are still
  // served at the deadline.
  [[nodiscard]] bool drain(policy::TimePoint Deadline);

  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] std::size_t connections() const;
  [[nodiscard]] std::uint64_t refused() const;

private:
  void acceptLoop();
  void accepted(UniqueFd Fd);
  void serve(std::list<Session>::iterator Place);

  const Options Given;
  UniqueFd Listener;
  std::thread Acceptor;
  std::atomic<bool> Stopping = false;
  std::atomic<std::uint64_t> Refused = 0;
  mutable std::mutex Mutex;
  std::condition_variable Ended;
  std::list<Session> Sessions;
};

} // namespace magnolia::daemon

#endif
