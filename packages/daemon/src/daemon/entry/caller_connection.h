#ifndef DAEMON_ENTRY_CALLER_CONNECTION_H
#define DAEMON_ENTRY_CALLER_CONNECTION_H

#include "daemon/entry/http_service_state.h"
#include "daemon/entry/pipelined_exchange.h"
#include "daemon/http/reader.h"
#include "daemon/memory/held_bytes.h"
#include "daemon/net/connection_server.h"
#include "daemon/net/fiber_signal.h"
#include "policy/pipeline/pipeline_state.h"

#include <chrono>
#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::daemon {

// Serves one connection. The fiber or thread of the connection runs the first
// unanswered request itself, so that a connection with one request at a time
// needs no second fiber; the waits of that request also read the connection.
// Requests that run beside the first one have their own fibers on the same
// loop, so that no state of the connection needs a lock.
class CallerConnection {
public:
  CallerConnection(HttpServiceState &Service, Session &Accepted);

  // Returns when the connection is to be closed and none of its requests runs.
  void serve();

private:
  friend class PipelinedExchange;

  // Maximum time of one wait for a worker.
  static constexpr policy::Duration LongestWait = std::chrono::hours(1);

  void serveRequests();
  void awaitWorkers();

  // Reads requests without waiting, up to the limits.
  void readInput();
  // Returns false if no bytes are available.
  [[nodiscard]] bool receive();
  void addRequest();
  void addRejection(HttpReadStatus Status);
  // Asks for the body of a request whose caller waits for that. Its place in
  // the output is behind all earlier responses.
  void sendContinue();

  void startRequests();
  // Returns false if the service has no fiber left.
  [[nodiscard]] bool startWorker(PipelinedExchange &Given);
  void runWorker(PipelinedExchange &Given);
  void run(PipelinedExchange &Given);
  // Returns true if a response was written or the connection broke.
  [[nodiscard]] bool writeFirst();
  void beginResponse();
  void endResponse();

  void wait();
  void waitForInput(policy::TimePoint Now);
  // Events of the connection to wait for, besides output.
  [[nodiscard]] short wantedEvents() const;
  void onEvents(short Seen, policy::TimePoint Now);
  // Handles the events seen in a wait of a request on this fiber.
  void serveDuringWait(short Seen, policy::TimePoint Now);

  void close();
  void cancelRunning();
  // Counts the held responses that have no share of the node's memory yet.
  void countHeldBytes();
  [[nodiscard]] std::size_t indexOf(const PipelinedExchange &Given) const;

  HttpServiceState &Service;
  Session &Accepted;
  // Address of the caller.
  const std::string Remote;
  policy::PipelineLimits Limits;
  HttpServiceOptions Current;
  HttpReader Reader;
  policy::PipelineState State;
  // One for each request of the state.
  std::list<PipelinedExchange> Exchanges;
  std::size_t Workers = 0;
  // True if the first request starts on this fiber next.
  bool RunsFirst = false;
  // Wakes this fiber when a worker ends.
  FiberSignal WorkerEnded;
  std::optional<HeldBytes> Held;

  // False if all bytes that had arrived at EmptyUntil were read.
  bool Readable = true;
  // Earliest time at which unread bytes can have arrived.
  policy::TimePoint EmptyUntil{};
  // Time at which the bytes in the reader arrived.
  policy::TimePoint ReadAt{};
  policy::TimePoint HeadStart{};
  bool ContinueSent = false;

  // Response that is being written, if Writing.
  bool Writing = false;
  policy::TimePoint WriteBy{};
  std::string Head;
  std::string_view HeadLeft;
  std::string_view BodyLeft;
};

} // namespace magnolia::daemon

#endif
