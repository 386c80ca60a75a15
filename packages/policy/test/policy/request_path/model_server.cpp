#include "policy/request_path/model.h"

namespace magnolia::policy::test {

namespace {

constexpr std::uint32_t Slots = 4;
constexpr Duration ColdStart = std::chrono::milliseconds(400);

std::uint32_t capacityOf(const Server &At, TimePoint Now) {
  const Duration Age = Now - At.StartedAt;
  return Age >= ColdStart
             ? Slots
             : 1 + static_cast<std::uint32_t>((Slots - 1) * Age / ColdStart);
}

} // namespace

void Model::deliver(const AttemptPtr &Sent, Incarnation To) {
  Server &At = Servers[Sent->Server];
  if (At.Run != To) {
    return;
  }
  if (Now < At.PausedUntil) {
    return after(At.PausedUntil - Now, [=, this] { deliver(Sent, To); });
  }
  const AdmissionDecision Next =
      admit(At.Admission, {.Deadline = Calls[Sent->Call].State.Deadline}, Now);
  switch (Next.Action) {
  case AdmissionAction::Run:
    return start(Sent);
  case AdmissionAction::Wait:
    At.Waiting.emplace(Next.Id, Sent);
    return after(nextExpiry(At.Admission) - Now,
                 [=, this] { expireWaiting(Sent->Server); });
  case AdmissionAction::Refuse:
    return reject(Sent, Next.Kind);
  }
}

void Model::start(const AttemptPtr &Sent) {
  Server &At = Servers[Sent->Server];
  const Call &From = Calls[Sent->Call];
  if (!From.State.Idempotent) {
    const LedgerDecision First =
        begin(*At.Ledger, Sent->Id, Sent->ExpectedIncarnation, Now);
    if (First != LedgerDecision::Run) {
      release(At, {.NotSent = true});
      return First == LedgerDecision::Full ? reject(Sent, errorOf(First))
                                           : reply(Sent, errorOf(First), 0);
    }
  }
  if (!From.Key.empty()) {
    const KeyDecision Claim =
        claimKey(*At.Ledger, "service", From.Key, Sent->Id, Now);
    if (Claim != KeyDecision::Claimed) {
      policy::finish(*At.Ledger, Sent->Id, false);
      release(At, {.NotSent = true});
      return reply(Sent, errorOf(Claim), 0);
    }
  }
  ++At.InFlight;
  ++RunCounts[From.Body];
  check(At.InFlight <= capacityOf(At, Now), "P2: more work than capacity");
  const Duration Time = delay(chance(0.05) ? 200 : 8);
  const Incarnation StartedBy = At.Run;
  after(Time, [=, this] { finish(Sent, StartedBy, Time); });
}

void Model::finish(const AttemptPtr &Sent, Incarnation StartedBy,
                   Duration Time) {
  Server &At = Servers[Sent->Server];
  if (At.Run != StartedBy) {
    return;
  }
  --At.InFlight;
  const Call &From = Calls[Sent->Call];
  policy::finish(*At.Ledger, Sent->Id, true);
  if (!From.Key.empty()) {
    finishKey(*At.Ledger, "service", From.Key, Sent->Id, true);
  }
  release(At, {.Latency = Time});
  reply(Sent, std::nullopt, From.Body);
}

void Model::release(Server &At, const Completion &Ended) {
  for (const Ticket Id : complete(At.Admission, Ended, Now)) {
    const AttemptPtr Next = At.Waiting.at(Id);
    At.Waiting.erase(Id);
    start(Next);
  }
}

void Model::expireWaiting(std::size_t At) {
  Server &From = Servers[At];
  for (const Expiry &Ended : expire(From.Admission, Now)) {
    const AttemptPtr Next = From.Waiting.at(Ended.Id);
    From.Waiting.erase(Ended.Id);
    reject(Next, Ended.Kind);
  }
  const TimePoint Next = nextExpiry(From.Admission);
  if (Next != TimePoint::max()) {
    after(Next - Now, [=, this] { expireWaiting(At); });
  }
}

void Model::reject(const AttemptPtr &Sent, ErrorKind Kind) {
  RunLedger &Ledger = *Servers[Sent->Server].Ledger;
  if (!Calls[Sent->Call].State.Idempotent) {
    Kind = rejectionKind(Ledger, Sent->Id, Kind, Now);
  }
  reply(Sent, Kind, 0);
}

void Model::reply(const AttemptPtr &Sent, std::optional<ErrorKind> Kind,
                  std::uint64_t Body) {
  const LoadReport Load = loadReport(Servers[Sent->Server].Admission);
  // A response may be lost with its connection, delayed or reordered.
  if (!chance(0.05)) {
    after(delay(chance(0.1) ? 150 : 3),
          [=, this] { receive(Sent, Kind, Body, Load); });
  }
}

void Model::restart(Server &At, Incarnation Run) const {
  At = Server{};
  At.Run = Run;
  At.StartedAt = Now;
  At.Admission.Options = {.Slots = Slots,
                          .MaxWaiting = 3,
                          .StepResponses = 1,
                          .StepTime = ColdStart / (Slots - 1)};
  onBackendIncarnation(At.Admission, Run, Now);
  At.Ledger = std::make_unique<RunLedger>(
      Run, LedgerOptions{.MaxRequests = 48, .MaxKeys = 24});
}

void Model::crash(std::size_t At) {
  restart(Servers[At], Servers[At].Run + 1);
  for (std::size_t I = 0; I < Entries.size(); ++I) {
    after(delay(200), [=, this] { refresh(I); });
  }
}

} // namespace magnolia::policy::test
