#include "graceful_stop.h"

#include "backend_record.h"
#include "interrupt.h"

#include <csignal>

namespace magnolia::bench {

namespace {

// Time after which a leaving backend server gets no new requests.
constexpr auto LeaveBound = std::chrono::seconds(3);
constexpr auto StopLimit = std::chrono::seconds(15);

double requestsOf(const Instance &Each) {
  const auto Record = fetchRecord(Each.Plan.Address, BackendPort, true);
  return Record ? static_cast<double>(Record->Requests) : 0;
}

} // namespace

void GracefulStop::perform(Fleet &Run) {
  const auto Entry = Run.entries().back().Address;
  for (auto &Each : Run.Instances) {
    if (Each.Plan.Address != Entry) {
      continue;
    }
    From = Clock::now();
    Each.Stopped = true;
    Each.Node->signal(SIGTERM);
    const auto Ended = Each.Node->wait(StopLimit);
    Seconds = std::chrono::duration<double>(Clock::now() - From).count();
    Status = Ended.value_or(124);
    pauseUntil(From + LeaveBound);
    const double AtBound = requestsOf(Each);
    pauseFor(std::chrono::seconds(1));
    LateRequests = requestsOf(Each) - AtBound;
  }
}

std::vector<Measure>
GracefulStop::judge(std::span<const CallResult> Results) const {
  double Interrupted = 0;
  for (const auto &Result : Results) {
    const auto Ended =
        Result.Due +
        std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double, std::milli>(Result.LatencyMs));
    // No caller of the run disconnects, so a cancelled call was interrupted
    // too.
    const bool WasInterrupted =
        Result.End == CallEnd::Broken || Result.Error == "Cancelled";
    if (Result.Planned.Via == RequestPath::System && Ended >= From &&
        WasInterrupted) {
      Interrupted += 1;
    }
  }
  return {figure("graceful_stop_s", Seconds),
          atMost("graceful_stop_exit_status", Status, 0),
          atMost("graceful_stop_interrupted", Interrupted, 0),
          atMost("leaving_backend_work_after_3s", LateRequests, 0)};
}

} // namespace magnolia::bench
