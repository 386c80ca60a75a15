#ifndef DAEMON_USAGE_REPORT_SENDER_H
#define DAEMON_USAGE_REPORT_SENDER_H

#include "daemon/control/task_queue.h"
#include "daemon/http/message.h"
#include "policy/usage/duty_action.h"

#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace magnolia::daemon {

struct ReportResult {
  policy::SendOutcome Outcome = policy::SendOutcome::Retry;
  // Status of the response; 0 if there was none.
  std::uint16_t Status = 0;
  std::string Reason;
};

// Sends reports to the receiver on a thread of its own, one after the other.
class ReportSender {
public:
  using Clock = std::function<policy::TimePoint()>;
  // Called on the sender's thread.
  using Handler = std::function<void(ReportResult Result)>;

  // Time is the clock of the lease.
  ReportSender(std::string Address, std::uint16_t Port, Clock Time);
  ReportSender(const ReportSender &) = delete;
  ReportSender &operator=(const ReportSender &) = delete;
  // Waits for the report in progress.
  ~ReportSender();

  // Queues a report. No byte of it is sent after the given time. Returns false
  // if the queue is full.
  bool submit(HttpRequest Report, policy::TimePoint Until, Handler Done);

private:
  [[nodiscard]] ReportResult send(const HttpRequest &Report,
                                  policy::TimePoint Until) const;

  const std::string Address;
  const std::uint16_t Port;
  const Clock Time;
  TaskQueue Jobs;
  std::thread Runner;
};

} // namespace magnolia::daemon

#endif
