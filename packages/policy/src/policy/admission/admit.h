#ifndef POLICY_ADMISSION_ADMIT_H
#define POLICY_ADMISSION_ADMIT_H

#include "policy/admission/admission_state.h"
#include "policy/core/error_kind.h"
#include "policy/load/load_report.h"

#include <string_view>

namespace magnolia::policy {

// Request that asks for a slot.
struct AdmissionQuery {
  TimePoint Deadline{};
  // Latest time of a response that meets the latency objective; zero if there
  // is no objective.
  TimePoint Objective{};
  // 0 is the highest priority.
  std::uint32_t Priority = 0;
  // True if an earlier attempt of the request has reached a backend server.
  bool Repeat = false;
  // True for a call that a backend server makes while it runs a request.
  bool Nested = false;
  // True for the first attempt of a nested call whose parent is a retry. It
  // uses up the retry budget but is not rejected for lack of it.
  bool OfRepeat = false;
  // True if the entry node can send the request to another sidecar.
  bool HasChoice = false;
  // Organisation that the slot counts for; empty for nested calls, which go
  // first anyway, and if none is configured.
  std::string_view Organisation;
};

enum class AdmissionAction : std::uint8_t { Run, Wait, Refuse };

struct AdmissionDecision {
  AdmissionAction Action = AdmissionAction::Refuse;
  // Set for Wait; complete, release or expire returns it later.
  Ticket Id = 0;
  // Set for Refuse; always a kind that states that the request did not run.
  ErrorKind Kind = ErrorKind::Overloaded;
  // Set for Wait if the request waits for the rate of a cold server and not for
  // a slot.
  bool ForColdRate = false;
};

// End of a request that held a slot.
struct Completion {
  // Service time of the backend server.
  Duration Latency{0};
  // True if there was no response, a broken response or a server error.
  bool Failed = false;
  // True if nothing was sent to the backend server. Latency and ramp are then
  // unchanged.
  bool NotSent = false;
  // Time at which the request was to start, if it was cancelled before it did.
  // Another request then takes its place at a cold server. Zero otherwise.
  TimePoint NeverStarted{};
};

// Waiting request that the caller must reject with Kind; it did not run.
struct Expiry {
  Ticket Id = 0;
  ErrorKind Kind = ErrorKind::Overloaded;
};

// Decides whether a request runs, waits or is refused. Run takes a slot, which
// the caller frees with complete.
[[nodiscard]] AdmissionDecision
admit(AdmissionState &State, const AdmissionQuery &Query, TimePoint Now);

// Frees the slot of a request and returns the tickets of waiting requests that
// take a slot now.
[[nodiscard]] std::vector<Ticket>
complete(AdmissionState &State, const Completion &Ended, TimePoint Now);

// Returns the earliest time at which a waiting request starts although no other
// one completes: at a cold server when the rate permits it, or Now. Returns
// TimePoint::max() if none waits, if no slot is free or without
// Options.PacesCold.
[[nodiscard]] TimePoint nextStart(const AdmissionState &State, TimePoint Now);

// Returns the tickets of waiting requests that take a slot now although no
// other request has completed. Must be called at nextStart.
[[nodiscard]] std::vector<Ticket> release(AdmissionState &State, TimePoint Now);

// Removes and returns the waiting requests whose deadline or maximum wait has
// passed.
[[nodiscard]] std::vector<Expiry> expire(AdmissionState &State, TimePoint Now);

// Returns the earliest time at which a waiting request expires, or
// TimePoint::max() if none waits.
[[nodiscard]] TimePoint nextExpiry(const AdmissionState &State);

// Removes a waiting request that was cancelled or fenced. Returns false if it
// no longer waits.
bool abandon(AdmissionState &State, Ticket Id);

// Records the incarnation of the backend server. A change restarts the ramp.
void onBackendIncarnation(AdmissionState &State, Incarnation Run,
                          TimePoint Now);

// Records the current processing time on the instance of the backend server, in
// percent of the usual time.
void onWorkTime(AdmissionState &State, std::uint32_t Percent, TimePoint Now);

// Records the announced rest of the cold start of the backend server; zero if
// it is warm.
void onColdLeft(AdmissionState &State, Duration Left, TimePoint Now);

// Returns true during an announced cold start.
[[nodiscard]] bool isCold(const AdmissionState &State, TimePoint Now);

// Records that the backend server refused a connection, or closed one while a
// request was in flight. It may have restarted, so the ramp restarts. The
// caller still calls complete for the request.
void onConnectFailure(AdmissionState &State, TimePoint Now);

// Refuse new requests of a backend server that leaves, or on a node that does;
// waiting and running requests continue.
void drain(AdmissionState &State);
void drainNode(AdmissionState &State);

// Refuses new requests whose deadline is after the end of the node, which would
// cut them. Another sidecar can take them.
void beginStop(AdmissionState &State, TimePoint End);

// Returns the current limit of concurrent requests.
[[nodiscard]] std::uint32_t limit(const AdmissionState &State);

[[nodiscard]] LoadReport loadReport(const AdmissionState &State);

} // namespace magnolia::policy

#endif
