#ifndef POLICY_ADMISSION_ADMISSION_OPTIONS_H
#define POLICY_ADMISSION_ADMISSION_OPTIONS_H

#include "policy/core/types.h"

namespace magnolia::policy {

// Capacity of one backend server and parameters of its admission control.
struct AdmissionOptions {
  std::uint32_t Slots = 12;
  std::uint32_t Connections = 200;
  // Share of the slots that is used at the same time. A server that slows down
  // when it is nearly full has a higher throughput with a slot or two unused.
  double UsableShare = 1.0;
  // True if the backend server announces its cold start. ColdPerSecond then
  // limits the rate during the announced cold start, and the ramp is not used.
  bool AnnouncesCold = false;
  // Requests per second that a cold server accepts; 0 means unknown, without a
  // limit on the rate.
  double ColdPerSecond = 0;
  // Factor on ColdPerSecond; above 1 only if servers are known to sustain a
  // higher rate than they announce.
  double ColdFactor = 1.0;
  // If true, the requests of a cold server start evenly spaced, and one that
  // finds the rate reached may wait for its turn. If false, it is rejected at
  // once.
  bool PacesCold = false;
  // Retries of requests that an earlier attempt has sent to a backend server
  // are limited to RepeatRatio of the first attempts in ten seconds plus
  // RepeatSlack. If both are 0, retries are not limited here.
  double RepeatRatio = 0;
  double RepeatSlack = 0;
  // Share of the retry budget that only nested calls may use: rejecting one
  // wastes the work of the request that makes it.
  double NestedRepeatShare = 0;
  // If requests take this percentage of the usual time or more, the sidecar
  // rejects those that another sidecar may accept. Measurements older than
  // WorkTimeMaxAge are ignored. 0 disables this.
  std::uint32_t SlowPercent = 0;
  Duration WorkTimeMaxAge = std::chrono::milliseconds(150);
  // Share of the time left until its latency objective for which a request may
  // wait for a slot. Used only if the request has an objective.
  double ObjectiveWaitShare = 0.55;
  // Maximum number of requests that wait for a slot, and the maximum wait of a
  // request without an objective.
  std::uint32_t MaxWaiting = 12;
  Duration MaxWait = std::chrono::milliseconds(20);
  // During a cold start the limit grows by one after StepResponses successful
  // responses for each request of the limit, and not before the backend server
  // has been busy for StepTime. Idle time does not count, since a server
  // without requests stays cold. The defaults suit a server that reaches its 12
  // slots within 4.4 s of busy time.
  std::uint32_t StepResponses = 4;
  Duration StepTime = std::chrono::milliseconds(400);
  // Factors over the baseline at which latency counts as overload and as a cold
  // start.
  double SlowFactor = 2.0;
  double JumpFactor = 5.0;
  // Minimum number of responses before a latency jump is detected.
  std::uint32_t MinJumpResponses = 8;
  // Averages below this value are never a latency jump: they may be scheduling
  // noise.
  Duration MinJumpLatency = std::chrono::milliseconds(4);
};

} // namespace magnolia::policy

#endif
