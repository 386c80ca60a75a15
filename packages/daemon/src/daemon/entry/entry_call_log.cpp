#include "daemon/entry/entry_call.h"

#include "daemon/log/log.h"
#include "daemon/net/clock.h"

#include <chrono>

// Log lines of a call.

namespace magnolia::daemon {

using policy::ErrorKind;

void EntryCall::logEnd(policy::TimePoint Now) const {
  const auto Left =
      std::chrono::duration<double, std::milli>(State.Deadline - Now);
  if (!Result->Kind) {
    log(LogLevel::Info, "request answered",
        {{"request", callerId()},
         {"service", std::string_view(Call.Request.Service)},
         {"status", std::uint64_t{Result->Status}},
         {"attempts", std::uint64_t{State.Attempts}},
         {"left_ms", Left.count()}});
    return;
  }
  const policy::ErrorEntry &Entry = policy::errorEntry(*Result->Kind);
  log(LogLevel::Warning,
      Entry.Run == policy::RunOutcome::No ? "request rejected"
                                          : "request failed",
      {{"request", callerId()},
       {"service", std::string_view(Call.Request.Service)},
       {"route", std::string_view(Call.Route)},
       {"kind", Entry.Name},
       {"run", policy::toString(Entry.Run)},
       {"detail", std::string_view(Result->Detail)},
       {"attempts", std::uint64_t{State.Attempts}},
       {"runs", std::uint64_t{State.Runs}},
       {"view", Call.Runtime->ViewSequence},
       {"left_ms", Left.count()}});
}

std::string_view EntryCall::callerId() const {
  const std::string_view Name = Owner.dialect().Headers.RequestId;
  const std::string *Id = findHeader(Call.Request.Headers, Name);
  return Id ? std::string_view(*Id) : std::string_view();
}

void EntryCall::logHedge() const {
  if (!Hedged) {
    return;
  }
  const auto InMs = [](policy::Duration Length) {
    return std::chrono::duration<double, std::milli>(Length).count();
  };
  log(LogLevel::Info, "request hedged",
      {{"request", callerId()},
       {"service", std::string_view(Call.Request.Service)},
       {"route", hedgeRoute()},
       {"delay_ms", InMs(Hedged->Delay)},
       {"quantile_ms", InMs(HedgeDelay)},
       {"sidecar", Hedged->Target},
       {"room", std::uint64_t{Hedged->Room}},
       {"result", Hedged->Ending}});
}

void EntryCall::logAttempt(const Attempt &Current, ErrorKind Kind,
                           std::string_view Detail) const {
  log(LogLevel::Info, "attempt ended",
      {{"request", callerId()},
       {"service", std::string_view(Call.Request.Service)},
       {"sidecar", std::string_view(Current.Peer.Address)},
       {"version", std::string_view(Current.Version)},
       {"kind", policy::errorEntry(Kind).Name},
       {"detail", Detail},
       {"attempt", std::uint64_t{State.Attempts}},
       {"after_ms",
        std::chrono::duration<double, std::milli>(now() - Current.Sent.Start)
            .count()}});
}

} // namespace magnolia::daemon
