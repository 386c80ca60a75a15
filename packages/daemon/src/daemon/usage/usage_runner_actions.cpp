#include "daemon/usage/usage_runner.h"

#include "daemon/control/membership_runner.h"
#include "daemon/control/store_worker.h"
#include "daemon/control/task_queue.h"
#include "daemon/log/log.h"
#include "daemon/usage/duty_codec.h"
#include "daemon/usage/run_counter.h"
#include "policy/usage/hold_duty.h"
#include "policy/usage/true_time.h"
#include "settings/record/record_key.h"
#include "store/client/put_resolved.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

// The store calls and reports of the holder, and what operators see of them.

namespace magnolia::daemon {

namespace {

constexpr std::chrono::milliseconds CallTimeout{2000};

policy::WriteOutcome outcomeOf(store::StoreErrorKind Kind) {
  switch (Kind) {
  case store::StoreErrorKind::Conflict:
    return policy::WriteOutcome::Conflict;
  case store::StoreErrorKind::Unavailable:
  case store::StoreErrorKind::TooLarge:
  case store::StoreErrorKind::Malformed:
    return policy::WriteOutcome::NotWritten;
  case store::StoreErrorKind::Timeout:
  case store::StoreErrorKind::NotFound:
  case store::StoreErrorKind::LeaseExpired:
  case store::StoreErrorKind::OutcomeUnknown:
    break;
  }
  return policy::WriteOutcome::Unknown;
}

// Reads the record. Returns nothing if the store does not respond.
std::optional<policy::SeenDuty> readDuty(const store::StoreOperations &Store) {
  store::StoreError LastError;
  const auto Found = Store.Read(settings::UsageDutyKey, CallTimeout, LastError);
  policy::SeenDuty Seen;
  if (!Found) {
    return LastError.Kind == store::StoreErrorKind::NotFound
               ? std::optional(Seen)
               : std::nullopt;
  }
  Seen.Revision = Found->ModRevision;
  policy::Error Reason;
  auto Record = parseDuty(Found->Value, Reason);
  Seen.Readable = Record.has_value();
  if (Record) {
    Seen.Record = *std::move(Record);
  } else {
    log(LogLevel::Warning, "usage record cannot be read",
        {{"reason", std::string_view(Reason.Detail)}});
  }
  return Seen;
}

} // namespace

void UsageRunner::start(const policy::DutyAction &Action) {
  switch (Action.Kind) {
  case policy::DutyActionKind::Read:
    startRead();
    return;
  case policy::DutyActionKind::Write:
    startWrite(Action);
    return;
  case policy::DutyActionKind::Send:
    startSend(Action);
    return;
  }
}

void UsageRunner::startRead() {
  const bool Queued =
      Deps.Store->submit([this](const store::StoreOperations &Store) {
        Deps.Queue.post([this, Seen = readDuty(Store)]() mutable {
          const policy::TimePoint Now = Time.Boot();
          if (Seen) {
            Seen->Since = Now;
          }
          const policy::UsageWindow Before = Duty.Known.Recorded;
          policy::onDutyRead(Duty, Seen, Now);
          logRecorded(Before);
        });
      });
  if (!Queued) {
    policy::onDutyRead(Duty, std::nullopt, Time.Boot());
  }
}

void UsageRunner::startWrite(const policy::DutyAction &Action) {
  const store::PutRequest Request = {.Key = std::string(settings::UsageDutyKey),
                                     .Value = formatDuty(Action.Record),
                                     .Expected = Action.Expected};
  const bool Queued = Deps.Store->submit(
      [this, Request, OperationId = Action.Record.OperationId](
          const store::StoreOperations &Store) {
        store::StoreError LastError;
        const auto Revision = store::putResolved(Store, Request, OperationId,
                                                 CallTimeout, LastError);
        const policy::WriteOutcome Outcome = Revision
                                                 ? policy::WriteOutcome::Written
                                                 : outcomeOf(LastError.Kind);
        Deps.Queue.post([this, Outcome, Revision] {
          onWritten(Outcome, Revision.value_or(0));
        });
      });
  if (!Queued) {
    policy::onDutyWritten(Duty, policy::WriteOutcome::NotWritten, 0,
                          Time.Boot());
  }
}

void UsageRunner::onWritten(policy::WriteOutcome Outcome,
                            std::uint64_t Revision) {
  const policy::UsageWindow Before = Duty.Known.Recorded;
  policy::onDutyWritten(Duty, Outcome, Revision, Time.Boot());
  logRecorded(Before);
}

void UsageRunner::logRecorded(policy::UsageWindow Before) {
  for (const policy::WindowCounts &Next : Duty.Held.Pending) {
    if (Next.Window > Before) {
      log(LogLevel::Info, "usage window recorded",
          {{"window", Next.Window}, {"age_ms", ageMs(Next.Window)}});
    }
  }
}

void UsageRunner::startSend(const policy::DutyAction &Action) {
  HttpRequest Report = Setup.Format(
      {.Holder = Name, .Token = Action.Token, .Report = Action.Report});
  const bool Queued = Sender.submit(
      std::move(Report), Action.SendUntil,
      [this, Window = Action.Report.Window](ReportResult Result) {
        Deps.Queue.post([this, Window, Result = std::move(Result)] {
          onSent(Window, Result);
        });
      });
  if (!Queued) {
    onSent(Action.Report.Window, {.Reason = "the queue of reports is full"});
  }
}

void UsageRunner::onSent(policy::UsageWindow Window,
                         const ReportResult &Result) {
  const std::uint64_t Age = ageMs(Window);
  const bool Late =
      Age > static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    Setup.Times.Delay)
                    .count());
  policy::onDutySent(Duty, Window, Result.Outcome, Late, Time.Boot());
  const std::uint64_t Status = Result.Status;
  switch (Result.Outcome) {
  case policy::SendOutcome::Accepted:
    log(LogLevel::Info, "usage window sent",
        {{"window", Window}, {"age_ms", Age}, {"late", Late}});
    return;
  case policy::SendOutcome::Retry:
    log(LogLevel::Warning, "usage window not sent",
        {{"window", Window},
         {"age_ms", Age},
         {"status", Status},
         {"reason", std::string_view(Result.Reason)}});
    return;
  case policy::SendOutcome::Refused:
    log(LogLevel::Error, "usage window refused",
        {{"window", Window}, {"age_ms", Age}, {"status", Status}});
    return;
  }
}

std::uint64_t UsageRunner::ageMs(policy::UsageWindow Window) {
  const auto True =
      policy::trueTime(Samples, liveMembers(), Time.Boot(), Setup.Times);
  const policy::Duration Age =
      True.value_or(Time.Wall()) - policy::endOf(Window, Setup.Times.Window);
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Age).count(), 0));
}

std::string UsageRunner::dump() const {
  const policy::DutyCounts &Counts = Duty.Counts;
  return nlohmann::json({{"holder", Duty.Known.Holder},
                         {"token", Duty.Known.Token},
                         {"recorded", Duty.Known.Recorded},
                         {"holding", Duty.Holding},
                         {"sending", Duty.Sending},
                         {"pending", Duty.Held.Pending.size()},
                         {"nodes", Totals.Nodes.size()},
                         {"clocks", Samples.Samples.size()},
                         {"dropped", Totals.Dropped},
                         {"gained", Counts.Gained},
                         {"lost", Counts.Lost}})
      .dump();
}

std::string UsageRunner::metrics() const {
  policy::DutyCounts Counts;
  {
    const std::lock_guard Lock(Mutex);
    Counts = Published;
  }
  std::string Text;
  const auto Add = [&Text](std::string_view Metric, std::uint64_t Value) {
    const std::string Full = "magnolia_usage_" + std::string(Metric);
    Text += "# TYPE " + Full + " counter\n" + Full + " " +
            std::to_string(Value) + "\n";
  };
  Add("duty_gained_total", Counts.Gained);
  Add("duty_lost_total", Counts.Lost);
  Add("windows_recorded_total", Counts.Recorded);
  Add("windows_sent_total", Counts.Sent);
  Add("windows_late_total", Counts.Late);
  Add("windows_given_up_total", Counts.GivenUp);
  Add("runs_dropped_total", Deps.Runs.dropped());
  return Text;
}

} // namespace magnolia::daemon
