#ifndef POLICY_ADMISSION_ADMISSION_OPTIONS_H
#define POLICY_ADMISSION_ADMISSION_OPTIONS_H

#include "policy/core/types.h"

namespace magnolia::policy {

// Capacity of one backend server and parameters of its admission control.
struct AdmissionOptions {
  std::uint32_t Slots = 12;
  std::uint32_t Connections = 200;
  // Share of the slots that is used at the same time: a server that slows down
  // when it is nearly full does more work with a slot or two to spare.
  double UsableShare = 1.0;
  // True where the backend server says itself that it is cold: then the rate
  // below holds while it does, in place of the ramp.
  bool AnnouncesCold = false;
  // Requests a second that a cold server takes; 0: none that is known.
  double ColdPerSecond = 0;
  // Factor on that rate; above 1 only where servers are known to bear more than
  // they state.
  double ColdFactor = 1.0;
  // Repeats of requests that reached a server before, as a share of the first
  // arrivals of ten seconds and a number on top. 0: repeats aren't bounded
  // here.
  double RepeatRatio = 0;
  double RepeatSlack = 0;
  // A server on which work takes this percentage of the usual time or more
  // rejects requests that have a choice, while what it knows of itself is not
  // older than WorkTimeFresh. 0: never.
  std::uint32_t SlowPercent = 0;
  Duration WorkTimeFresh = std::chrono::milliseconds(150);
  // Part of the time left until the latency objective that a request may wait
  // for a slot, where it has an objective.
  double ObjectiveWaitShare = 0.55;
  // Requests that may wait for a slot, and for how long.
  std::uint32_t MaxWaiting = 12;
  Duration MaxWait = std::chrono::milliseconds(20);
  // Cold start: the limit grows by one after this many good responses for each
  // request of the limit, and not before the backend server has worked for
  // StepTime. Idle time doesn't count: a server without work stays cold. The
  // default suits a server that gets its 12 slots within 4.4 s of work.
  std::uint32_t StepResponses = 4;
  Duration StepTime = std::chrono::milliseconds(400);
  // Growth of latency over the baseline that counts as overload, and that
  // counts as a cold start.
  double SlowFactor = 2.0;
  double JumpFactor = 5.0;
  // Responses before a jump is believed.
  std::uint32_t JumpResponses = 8;
  // Averages below this are never a jump: they may be scheduling noise.
  Duration MinJump = std::chrono::milliseconds(4);
};

} // namespace magnolia::policy

#endif
