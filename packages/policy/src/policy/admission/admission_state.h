#ifndef POLICY_ADMISSION_ADMISSION_STATE_H
#define POLICY_ADMISSION_ADMISSION_STATE_H

#include "policy/admission/admission_options.h"
#include "policy/admission/arrival_window.h"

#include <vector>

namespace magnolia::policy {

// Names one waiting request of one sidecar; never used twice.
using Ticket = std::uint64_t;

// Request that waits for a slot.
struct Waiter {
  Ticket Id = 0;
  TimePoint Since{};
  TimePoint Deadline{};
  // End of the longest wait.
  TimePoint Until{};
  // 0 is the most urgent.
  std::uint32_t Priority = 0;
  bool Repeat = false;
};

// Requests and limits of one backend server. The in-flight count is exact:
// every Run and every ticket returned by complete adds one, every complete
// takes one away. Guard it with one mutex.
struct AdmissionState {
  AdmissionOptions Options;
  // The most urgent first, and of these the oldest; at most
  // Options.MaxWaiting.
  std::vector<Waiter> Waiting;
  Ticket LastTicket = 0;
  // Run of the backend server; 0: unknown.
  Incarnation Backend = 0;
  // Time in this step of the ramp with a request in flight, up to BusySince.
  Duration StepWorked{0};
  TimePoint BusySince{};
  // Limit that follows latency under overload; 0: not set yet.
  double Adaptive = 0;
  // Fast and slow moving averages of the service time.
  Duration Latency{0};
  Duration Baseline{0};
  // Time that work takes now, in percent of the usual, and when it was heard.
  std::uint32_t WorkTimePercent = 0;
  TimePoint WorkTimeAt{};
  // End of the cold start that the backend server announced.
  TimePoint ColdUntil{};
  ArrivalWindow Arrivals;
  // Counters.
  std::uint64_t Admitted = 0;
  std::uint64_t Queued = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Expired = 0;
  std::uint64_t Resets = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t MaxInFlight = 0;
  // Limit of the cold-start ramp; a backend server of unknown history starts
  // at one.
  std::uint32_t Ramp = 1;
  std::uint32_t StepGood = 0;
  std::uint32_t StepBad = 0;
  std::uint32_t AdaptiveResponses = 0;
  std::uint32_t Responses = 0;
  // True where the limit was reached since the last step: only then do the
  // responses say something about it.
  bool StepFull = false;
  bool Draining = false;
};

} // namespace magnolia::policy

#endif
