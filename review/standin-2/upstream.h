#ifndef REVIEW_STANDIN_2_UPSTREAM_H
#define REVIEW_STANDIN_2_UPSTREAM_H

#include "http.h"
#include "record.h"

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <thread>
#include <vector>

namespace review {

struct UpstreamOptions {
  std::string Address;
  std::uint16_t Port = 0;
  // Address at which the node beside it takes check-ins.
  std::uint16_t ControlPort = 0;
  std::string Service;
  std::string Version = "v1";
  std::string Zone;
  std::string Instance;
  std::uint32_t Slots = 12;
  Milliseconds Work{20};
  Milliseconds Heartbeat{1500};
  // Size to which the body of a response is filled up.
  std::size_t BodyBytes = 0;
  // Status of the response to a request with this target; 200 if not set.
  std::function<int(const std::string &Target)> StatusOf;
};

// A request that the upstream began to work on.
struct Run {
  TimePoint At{};
  std::string RequestId;
  std::string Service;
  std::string Version;
  std::string Instance;
  std::string Target;
  int Status = 0;
};

// Stand-in of an application upstream, as PROTOCOL.md describes it.
class Upstream {
public:
  Upstream(UpstreamOptions Given, Record &Lines);
  Upstream(const Upstream &) = delete;
  Upstream &operator=(const Upstream &) = delete;
  ~Upstream();

  [[nodiscard]] bool start();
  [[nodiscard]] std::vector<Run> runs() const;

private:
  void acceptLoop();
  void serve(int Socket);
  [[nodiscard]] Response answer(const Request &Call, int Socket);
  void heartbeatLoop();
  [[nodiscard]] bool sendHeartbeat();

  const UpstreamOptions Given;
  Record &Lines;
  const std::uint64_t Born;
  int Listener = -1;
  std::atomic<bool> Stopping = false;
  std::atomic<std::uint64_t> Sequence = 0;
  std::atomic<int> Running = 0;
  mutable std::mutex Mutex;
  std::vector<Run> Runs;
  std::list<int> Sockets;
  std::list<std::thread> Sessions;
  std::thread Acceptor;
  std::thread Heartbeats;
};

} // namespace review

#endif
