#ifndef BACKEND_BACKEND_SERVER_H
#define BACKEND_BACKEND_SERVER_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <httplib.h>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include "backend/backend_options.h"
#include "backend/connection.h"
#include "backend/fault_plan.h"
#include "backend/prompt_server.h"
#include "backend/run_record.h"
#include "backend/slot_state.h"

namespace magnolia::standin {

// Stand-in backend server: an HTTP server with slots, a cold start, fault
// injection and a record of the requests that it ran.
class BackendServer {
public:
  explicit BackendServer(BackendOptions Options);

  // Binds the port. Returns false if it is in use.
  bool bind();

  // Serves until the process ends. A restart fault closes the port for a while
  // and then listens again.
  void serve();

  // Refuses new requests from now on and waits, up to the limit, until no
  // request is in flight.
  void drain(std::chrono::milliseconds Limit);

  [[nodiscard]] std::uint64_t incarnation() const { return Incarnation; }

private:
  // One request while the server handles it.
  struct Run {
    std::string Path;
    std::string Token;
    int Socket = -1;
    // The connection was open when the silent fault was set.
    bool Unresponsive = false;
    std::chrono::nanoseconds ServiceTime{0};
    FaultEffect Effect;
  };

  void addRoutes();
  void closePort(int KeptSocket);
  void reopenPort();
  void answer(const httplib::Request &Request, httplib::Response &Response);
  bool start(const httplib::Request &Request, Run &Started,
             httplib::Response &Response);
  void finish(const httplib::Request &Request, const Run &Started,
              httplib::Response &Response);
  void withholdResponse(const Run &Unresponsive);
  [[nodiscard]] std::chrono::nanoseconds drawServiceTime();
  void setFault(const httplib::Request &Request, httplib::Response &Response);
  void report(httplib::Response &Response);
  void writeRecord(const httplib::Request &Request,
                   httplib::Response &Response);

  BackendOptions Options;
  PromptServer Server;
  int ListeningSocket = -1;
  std::atomic<std::uint64_t> Incarnation;
  // Connections up to this number no longer respond.
  std::atomic<std::uint64_t> LastUnresponsive{0};
  std::atomic<bool> Down{false};
  std::thread Disconnector;

  std::mutex Mutex;
  std::condition_variable Idle;
  SlotState Slots;
  RunRecord Record;
  FaultPlan Plan;
  std::uint64_t RequestsSinceFault = 0;
  std::uint64_t Cancelled = 0;
  // Wall-clock end of the first request that the fault affected.
  std::int64_t FirstFaultMs = 0;
  bool Draining = false;
  std::mt19937_64 Engine;
  std::string LaggedReport;
  TimePoint ReportedAt{0};
};

} // namespace magnolia::standin

#endif
