#include "policy/request_path/model.h"

namespace magnolia::policy::test {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t ServerCount = 3;
constexpr std::size_t EntryCount = 2;
constexpr int CallCount = 150;
constexpr milliseconds FenceTimeout{40};

} // namespace

Model::Model(std::uint64_t Seed) : Random(Seed) {
  Servers.resize(ServerCount);
  Entries.resize(EntryCount);
  for (Server &At : Servers) {
    restart(At, 1);
  }
  for (std::size_t I = 0; I < EntryCount; ++I) {
    refresh(I);
  }
}

void Model::run() {
  for (int I = 0; I < CallCount; ++I) {
    after(delay(1000), [this] { startCall(); });
  }
  for (std::size_t I = 0; I < ServerCount; ++I) {
    after(delay(1500), [this, I] { crash(I); });
    after(delay(1000),
          [this, I] { Servers[I].PausedUntil = Now + delay(120); });
  }
  while (!Events.empty()) {
    const Event Next = Events.top();
    Events.pop();
    Now = Next.At;
    Next.Action();
  }
  for (const Call &Ended : Calls) {
    check(Ended.Ended, "a caller got no response");
    const int Runs = RunCounts[Ended.Body];
    check(Ended.State.Idempotent || Runs <= 1,
          "P7: a non-idempotent request ran " + std::to_string(Runs) +
              " times");
    check(!Ended.ToldNotRun || Runs == 0, "P6: 'not run' was false");
  }
}

void Model::after(Duration Delay, std::function<void()> Action) {
  Events.push({Now + Delay, ++Order, std::move(Action)});
}

Duration Model::delay(int MaxMs) {
  return std::uniform_int_distribution<std::int64_t>(1, MaxMs * 1'000'000LL)(
             Random) *
         Duration(1);
}

bool Model::chance(double Share) {
  return std::bernoulli_distribution(Share)(Random);
}

void Model::check(bool Ok, const std::string &Text) {
  if (!Ok) {
    Faults.push_back(Text);
  }
}

void Model::refresh(std::size_t At) {
  std::vector<CandidateSpec> Specs;
  for (std::size_t I = 0; I < ServerCount; ++I) {
    Specs.push_back({.Node = I + 1, .Run = Servers[I].Run});
  }
  updateCandidates(Entries[At].Route, Specs, Now);
}

void Model::startCall() {
  Call Next;
  Next.Body = Calls.size() + 1;
  Next.Entry = Random() % EntryCount;
  Next.State.Idempotent = chance(0.3);
  Next.State.Deadline = Now + milliseconds(50) + delay(200);
  if (chance(0.3)) {
    Next.Key = std::to_string(Next.Body);
  }
  recordRequest(Entries[Next.Entry].Retries, Now);
  recordRequest(Entries[Next.Entry].Probes, Now);
  Calls.push_back(Next);
  send(Calls.size() - 1);
}

void Model::send(std::size_t At) {
  Call &From = Calls[At];
  Entry &Via = Entries[From.Entry];
  Error LastError;
  RouteQuery Query{.Idempotent = From.State.Idempotent, .Excluded = From.Tried};
  if (!From.Key.empty()) {
    Query.Key = hashOf(From.Key);
  }
  const auto Node = choose(Via.Route, Query, Now, Random, LastError);
  // No attempt is open here, and none of a non-idempotent request may have run:
  // such a request is retried only after proof that it did not run.
  if (!Node) {
    const bool NeverSent = !From.State.Idempotent || From.Tried.empty();
    end(At, NeverSent ? LastError.Kind : ErrorKind::OutcomeUnknown, 0);
    return;
  }
  onAttempt(From.State);
  From.Tried.push_back(*Node);
  const std::size_t To = *Node - 1;
  const auto Sent = std::make_shared<Attempt>(
      Attempt{.Id = {From.Entry + 1, 1, ++Via.Sequence},
              .Call = At,
              .Server = To,
              .ExpectedIncarnation = findCandidate(Via.Route, *Node)->Spec.Run,
              .Sent = onDispatch(Via.Route, *Node, Now)});
  const Incarnation Run = Servers[To].Run;
  // A message may be duplicated, or lost with its connection on either side.
  for (int Copies = chance(0.1) ? 2 : 1; Copies > 0; --Copies) {
    after(delay(chance(0.1) ? 150 : 3), [=, this] { deliver(Sent, Run); });
  }
  const Duration AttemptTimeout = milliseconds(20) + delay(60);
  after(AttemptTimeout, [=, this] { onAttemptTimeout(Sent); });
  (void)nextProbe(Via.Probes, Via.Route, Now, Random);
  check(static_cast<double>(Via.Probes.Probes) <=
            probesAllowed(Via.Probes, Now) + 1e-9,
        "P1: probes over budget");
}

void Model::onAttemptTimeout(const AttemptPtr &Sent) {
  if (Sent->Ended) {
    return;
  }
  Sent->Ended = true;
  Call &From = Calls[Sent->Call];
  onFailure(Entries[From.Entry].Route, Sent->Sent, ErrorKind::OutcomeUnknown,
            Now);
  onAttemptEnd(From.State);
  decide(Sent, {.Event = OutcomeEvent::Lost});
}

void Model::decide(const AttemptPtr &Sent, const Outcome &Result) {
  Call &From = Calls[Sent->Call];
  const RetryDecision Next =
      planNext(From.State, Result, Entries[From.Entry].Retries, Now);
  switch (Next.Action) {
  case RetryAction::RetryElsewhere:
    return send(Sent->Call);
  case RetryAction::Fence:
    return fenceAttempt(Sent);
  case RetryAction::GiveUp: {
    // An earlier attempt of an idempotent request may have run.
    const bool EarlierMayHaveRun =
        From.State.Idempotent && From.State.Attempts > 1;
    return end(Sent->Call,
               EarlierMayHaveRun ? ErrorKind::OutcomeUnknown : Next.Kind, 0);
  }
  case RetryAction::Hedge:
  case RetryAction::KeepWaiting:
    check(false, "unexpected decision");
  }
}

void Model::fenceAttempt(const AttemptPtr &Sent) {
  const auto Done = std::make_shared<bool>(false);
  const auto OnFenceResult = [=, this](OutcomeEvent Event) {
    if (!*Done) {
      *Done = true;
      decide(Sent, {.Event = Event});
    }
  };
  after(FenceTimeout, [=] { OnFenceResult(OutcomeEvent::FenceSilent); });
  after(delay(10), [=, this] {
    Server &At = Servers[Sent->Server];
    if (Now < At.PausedUntil || chance(0.1)) {
      return;
    }
    const bool Never = fence(*At.Ledger, Sent->Id, Sent->ExpectedIncarnation,
                             Now) == FenceDecision::NeverRun;
    after(delay(20), [=] {
      OnFenceResult(Never ? OutcomeEvent::FenceNeverRun
                          : OutcomeEvent::FenceStarted);
    });
  });
}

void Model::receive(const AttemptPtr &Sent, std::optional<ErrorKind> Kind,
                    std::uint64_t Body, const LoadReport &Load) {
  if (Sent->Ended) {
    return;
  }
  Sent->Ended = true;
  Call &From = Calls[Sent->Call];
  RouteState &Route = Entries[From.Entry].Route;
  if (Kind) {
    onRejection(Route, Sent->Sent, *Kind, Load, Now);
  } else {
    onResponse(Route, Sent->Sent, {.Load = Load}, Now);
  }
  onAttemptEnd(From.State);
  if (Kind) {
    decide(Sent, {.Event = OutcomeEvent::Rejected, .Kind = *Kind});
  } else {
    end(Sent->Call, std::nullopt, Body);
  }
}

void Model::end(std::size_t At, std::optional<ErrorKind> Kind,
                std::uint64_t Body) {
  Call &From = Calls[At];
  check(!From.Ended, "a caller got two responses");
  From.Ended = true;
  if (!Kind) {
    ++Succeeded;
    check(Body == From.Body, "P5: response of another request");
    return;
  }
  const RunOutcome Run = errorEntry(*Kind).Run;
  From.ToldNotRun = Run == RunOutcome::No;
  NotRun += Run == RunOutcome::No ? 1 : 0;
  Unknown += Run == RunOutcome::Unknown ? 1 : 0;
}

} // namespace magnolia::policy::test
