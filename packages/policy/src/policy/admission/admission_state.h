#ifndef POLICY_ADMISSION_ADMISSION_STATE_H
#define POLICY_ADMISSION_ADMISSION_STATE_H

#include "policy/admission/admission_options.h"
#include "policy/admission/arrival_window.h"
#include "policy/admission/cold_pace.h"
#include "policy/organisation/fair_share.h"

#include <string>
#include <vector>

namespace magnolia::policy {

// Identifies one waiting request of one sidecar; never reused.
using Ticket = std::uint64_t;

// Request that waits for a slot or for its turn at a cold server.
struct Waiter {
  Ticket Id = 0;
  TimePoint Since{};
  TimePoint Deadline{};
  // End of the maximum wait.
  TimePoint Until{};
  // 0 is the highest priority.
  std::uint32_t Priority = 0;
  // True if the request uses up the retry budget.
  bool Repeat = false;
  // See AdmissionQuery.
  std::string Organisation;
  // True if it goes first because of the share of its organisation.
  bool GoesFirst = false;
};

// Admission state of one backend server. The in-flight count is exact: each Run
// and each ticket returned by complete or release adds one, and each call of
// complete subtracts one. It is not thread-safe; callers guard it with one
// mutex.
struct AdmissionState {
  AdmissionOptions Options;
  // Waiting requests, ordered by priority and then by arrival; at most
  // Options.MaxWaiting.
  std::vector<Waiter> Waiting;
  Ticket LastTicket = 0;
  // Incarnation of the backend server; 0 means unknown.
  Incarnation Backend = 0;
  // Time with a request in flight during this step of the ramp, counted up to
  // BusySince.
  Duration StepBusyTime{0};
  TimePoint BusySince{};
  // Limit that adapts to latency under overload; 0 if not set yet.
  double AdaptiveLimit = 0;
  // Short-term and long-term moving averages of the service time.
  Duration Latency{0};
  Duration Baseline{0};
  // Current processing time in percent of the usual time, and the time of this
  // measurement.
  std::uint32_t WorkTimePercent = 0;
  TimePoint WorkTimeAt{};
  // End of the cold start that the backend server announced.
  TimePoint ColdUntil{};
  ArrivalWindow Arrivals;
  // Used only with Options.PacesCold.
  ColdPace Pace;
  FairShare Shares;
  std::uint64_t Admitted = 0;
  std::uint64_t Queued = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Expired = 0;
  std::uint64_t Resets = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t MaxInFlight = 0;
  // Limit of the cold-start ramp; a backend server with unknown history starts
  // at 1.
  std::uint32_t Ramp = 1;
  std::uint32_t StepSuccesses = 0;
  std::uint32_t StepFailures = 0;
  std::uint32_t AdaptiveResponses = 0;
  std::uint32_t Responses = 0;
  // True if the limit was reached since the last step. Only then do the
  // responses show whether the limit is right.
  bool StepReachedLimit = false;
  bool Draining = false;
  // True if the node itself drains; a report of the backend server does not end
  // that.
  bool NodeDraining = false;
  // Time at which a stopping node cuts the requests that still run.
  TimePoint StopEnd = TimePoint::max();
};

} // namespace magnolia::policy

#endif
