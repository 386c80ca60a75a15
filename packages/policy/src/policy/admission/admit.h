#ifndef POLICY_ADMISSION_ADMIT_H
#define POLICY_ADMISSION_ADMIT_H

#include "policy/admission/admission_state.h"
#include "policy/core/error_kind.h"
#include "policy/load/load_report.h"

namespace magnolia::policy {

// Request that asks for a slot.
struct AdmissionQuery {
  TimePoint Deadline{};
  // Until when an answer meets the latency objective; zero: no objective.
  TimePoint Objective{};
  // 0 is the most urgent.
  std::uint32_t Priority = 0;
  // An earlier attempt of the request has reached a backend server.
  bool Repeat = false;
  // The entry node can offer the request to another sidecar.
  bool HasChoice = false;
};

enum class AdmissionAction : std::uint8_t { Run, Wait, Refuse };

struct AdmissionDecision {
  AdmissionAction Action = AdmissionAction::Refuse;
  // Set for Wait: complete or expire return it later.
  Ticket Id = 0;
  // Set for Refuse; each of these kinds states that the request did not run.
  ErrorKind Kind = ErrorKind::Overloaded;
};

// End of a request that held a slot.
struct Completion {
  // Service time of the backend server.
  Duration Latency{0};
  // No response, a broken one, or a server error.
  bool Failed = false;
  // Nothing was sent to the backend server, so it says nothing about it.
  bool NotSent = false;
};

// Waiting request that must be rejected with Kind; it did not run.
struct Expiry {
  Ticket Id = 0;
  ErrorKind Kind = ErrorKind::Overloaded;
};

// Decides on one request. Run takes a slot; call complete when it ends.
[[nodiscard]] AdmissionDecision
admit(AdmissionState &State, const AdmissionQuery &Query, TimePoint Now);

// Frees the slot of a request and returns the tickets that take a slot now.
[[nodiscard]] std::vector<Ticket>
complete(AdmissionState &State, const Completion &Ended, TimePoint Now);

// Removes the waiting requests whose deadline or longest wait has passed.
[[nodiscard]] std::vector<Expiry> expire(AdmissionState &State, TimePoint Now);

// Earliest time at which expire has something to do; nothing waits: max.
[[nodiscard]] TimePoint nextExpiry(const AdmissionState &State);

// Removes a waiting request whose caller went away or that was fenced. False
// where it no longer waits.
bool abandon(AdmissionState &State, Ticket Id);

// The backend server says which run it is. Another one than before starts the
// ramp again.
void onBackendIncarnation(AdmissionState &State, Incarnation Run,
                          TimePoint Now);

// The backend server says how long work takes on its instance now, in percent
// of the usual.
void onWorkTime(AdmissionState &State, std::uint32_t Percent, TimePoint Now);

// The backend server says how much longer it is cold; zero: it is warm.
void onColdLeft(AdmissionState &State, Duration Left, TimePoint Now);

// True while the announced cold start lasts.
[[nodiscard]] bool isCold(const AdmissionState &State, TimePoint Now);

// The backend server refused a connection or broke one off while a request was
// in flight: it may have restarted, so the ramp starts again. The request
// itself ends with complete.
void onConnectFailure(AdmissionState &State, TimePoint Now);

// Refuses new requests from now on; those that wait or run go on.
void drain(AdmissionState &State);

// Requests that may run at the same time now.
[[nodiscard]] std::uint32_t limit(const AdmissionState &State);

[[nodiscard]] LoadReport loadReport(const AdmissionState &State);

} // namespace magnolia::policy

#endif
