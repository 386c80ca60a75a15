#include "duty_model.h"

#include "policy/core/epoch.h"

#include <algorithm>
#include <utility>

namespace magnolia::policy::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds Step{50};

} // namespace

DutyModel::DutyModel(const DutyModelOptions &Given)
    : Options(Given), Random(Given.Seed) {
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
    Node &Of = Nodes[Index];
    Of.Id = Index + 1;
    Of.Name = "node" + std::to_string(Index);
    Of.Run = 1;
    if (Options.Faults) {
      Of.Rate = 0.99 + 0.01 * static_cast<double>(Random() % 3);
      Of.ClockError = milliseconds(Random() % 200);
    }
  }
}

bool DutyModel::chance(double Probability) {
  return Options.Faults && !calm() &&
         std::uniform_real_distribution<>(0, 1)(Random) < Probability;
}

Duration DutyModel::upTo(Duration Most) {
  return Duration(
      std::uniform_int_distribution<Duration::rep>(0, Most.count())(Random));
}

bool DutyModel::calm() const {
  return Now >= Start + Options.Length - Options.Calm;
}

TimePoint DutyModel::bootOf(const Node &Of) const {
  return TimePoint(std::chrono::duration_cast<Duration>(
      (Now - Start) * Of.Rate + seconds(1000) * static_cast<double>(Of.Id)));
}

void DutyModel::at(TimePoint Time, std::function<void()> Happen) {
  Events.emplace(Time, std::move(Happen));
}

void DutyModel::tell(std::size_t Index, TimePoint Time,
                     std::function<void(Node &)> Happen) {
  at(Time, [this, Index, Run = Nodes[Index].Run, Happen = std::move(Happen)] {
    Node &Of = Nodes[Index];
    if (Of.Run != Run) {
      return;
    }
    if (Of.SuspendedUntil > Now) {
      tell(Index, Of.SuspendedUntil, Happen);
      return;
    }
    Happen(Of);
  });
}

void DutyModel::run() {
  while (Now < Start + Options.Length) {
    Now += Step;
    while (!Events.empty() && Events.begin()->first <= Now) {
      const auto Happen = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Happen();
    }
    breakThings();
    exchangeFacts();
    for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
      if (Nodes[Index].SuspendedUntil <= Now) {
        tick(Nodes[Index], Index);
      }
    }
  }
  for (const Node &Of : Nodes) {
    Gained += Of.State.Counts.Gained + Of.GainedBefore;
  }
}

void DutyModel::breakThings() {
  if (Now.time_since_epoch() % seconds(2) == Duration::zero()) {
    Copies.push_back(Stored);
  }
  for (Node &Of : Nodes) {
    if (chance(0.003)) {
      Of.SuspendedUntil = Now + upTo(seconds(12));
    }
    if (chance(0.0005)) {
      Of.GainedBefore += Of.State.Counts.Gained;
      Of.State = {};
      Of.Totals = {};
      ++Of.Run;
      Of.NewestEpoch = 0;
      Of.SuspendedUntil = Now + upTo(seconds(5));
    }
  }
  if (chance(0.001)) {
    StoreDownUntil = Now + upTo(seconds(15));
  }
  if (chance(0.001)) {
    ReceiverDownUntil = Now + upTo(seconds(15));
  }
  if (chance(0.0003) && !Copies.empty()) {
    const std::uint64_t Epoch = Stored.Epoch + 1;
    const std::size_t Age =
        Random() % std::min<std::size_t>(Copies.size(), std::size_t{6});
    Stored = Copies[Copies.size() - 1 - Age];
    Stored.Epoch = Epoch;
    Copies.clear();
  }
}

// Every node learns the facts of the others within a second or so.
void DutyModel::exchangeFacts() {
  if ((Now - Start) % seconds(1) != Duration::zero()) {
    return;
  }
  for (const Node &From : Nodes) {
    if (From.SuspendedUntil > Now) {
      continue;
    }
    for (std::size_t To = 0; To < Nodes.size(); ++To) {
      if (Nodes[To].Id == From.Id || chance(0.2)) {
        continue;
      }
      tell(To, Now + upTo(milliseconds(100)),
           [this, Facts = From.State.Known, Holds = From.State.Holding,
            Id = From.Id](Node &Of) {
             onDutyFacts(Of.State, Facts, Id, Holds, bootOf(Of));
           });
    }
  }
}

void DutyModel::tick(Node &Of, std::size_t Index) {
  const TimePoint True = Now + Of.ClockError;
  const UsageWindow Window = windowOf(True, Options.Times.Window);
  const UsageWindow First =
      std::max(windowOf(Start, Options.Times.Window), Window - MaxKeptWindows);
  for (UsageWindow Next = First; Next <= Window; ++Next) {
    // Each node knows other counts.
    Of.Totals.Sums.try_emplace(Next,
                               OrganisationCounts{{"a", 1 + Random() % 1000}});
  }
  std::size_t Rank = Index;
  if (Of.State.Known.Holder != 0 && Of.State.Known.Holder <= Index) {
    --Rank;
  }
  const Node *Holder =
      Of.State.Known.Holder == 0 ? nullptr : &Nodes[Of.State.Known.Holder - 1];
  const DutyInput Input{.Now = bootOf(Of),
                        .True = True,
                        .Self = Of.Id,
                        .Run = Of.Run,
                        .Name = Of.Name,
                        .Rank = Rank,
                        .HolderLive = Holder != nullptr,
                        .Epoch = Of.NewestEpoch,
                        .Totals = Of.Totals,
                        .Reporting = {}};
  while (const auto Action = nextDutyAction(Of.State, Input, Options.Times)) {
    act(Index, *Action);
  }
}

void DutyModel::act(std::size_t Index, const DutyAction &Action) {
  switch (Action.Kind) {
  case DutyActionKind::Read:
    read(Index);
    return;
  case DutyActionKind::Write:
    ++Writes;
    write(Index, Action);
    return;
  case DutyActionKind::Send:
    send(Index, Action);
    return;
  }
}

void DutyModel::read(std::size_t Index) {
  at(Now + upTo(milliseconds(20)), [this, Index] {
    const bool Lost = Now < StoreDownUntil || chance(0.05);
    const Store Found = Stored;
    tell(Index, Now + upTo(milliseconds(20)) + (Lost ? seconds(2) : seconds(0)),
         [this, Lost, Found](Node &Of) {
           if (Lost || Found.Epoch < Of.NewestEpoch) {
             onDutyRead(Of.State, std::nullopt, bootOf(Of));
             return;
           }
           Of.NewestEpoch = Found.Epoch;
           const std::uint64_t Revision =
               Found.RecordCounter == 0
                   ? 0
                   : *revisionIn(Found.Epoch, Found.RecordCounter);
           onDutyRead(Of.State,
                      SeenDuty{.Record = Found.Record,
                               .Revision = Revision,
                               .Since = bootOf(Of)},
                      bootOf(Of));
         });
  });
}

std::optional<std::uint64_t> DutyModel::apply(const DutyAction &Action) {
  if (counterOf(Action.Expected) != Stored.RecordCounter) {
    return std::nullopt;
  }
  Stored.RecordCounter = ++Stored.Counter;
  Stored.Record = Action.Record;
  return *revisionIn(Stored.Epoch, Stored.RecordCounter);
}

void DutyModel::write(std::size_t Index, const DutyAction &Action) {
  Node &Of = Nodes[Index];
  if (Action.Expected != 0 && epochOf(Action.Expected) < Of.NewestEpoch) {
    tell(Index, Now, [this](Node &To) {
      onDutyWritten(To.State, WriteOutcome::Conflict, 0, bootOf(To));
    });
    return;
  }
  if (Now < StoreDownUntil) {
    tell(Index, Now + milliseconds(20), [this](Node &To) {
      onDutyWritten(To.State, WriteOutcome::NotWritten, 0, bootOf(To));
    });
    return;
  }
  if (chance(0.15)) {
    // The answer is lost; the write takes effect before or after that is
    // noticed, or never.
    if (chance(0.7)) {
      at(Now + upTo(seconds(4)), [this, Action] { (void)apply(Action); });
    }
    tell(Index, Now + seconds(2), [this](Node &To) {
      onDutyWritten(To.State, WriteOutcome::Unknown, 0, bootOf(To));
    });
    return;
  }
  at(Now + upTo(milliseconds(20)), [this, Index, Action] {
    const auto Revision = apply(Action);
    tell(Index,
         Now + upTo(chance(0.1) ? Duration(seconds(2))
                                : Duration(milliseconds(20))),
         [this, Revision, Epoch = Stored.Epoch](Node &To) {
           To.NewestEpoch = std::max(To.NewestEpoch, Epoch);
           onDutyWritten(To.State,
                         Revision ? WriteOutcome::Written
                                  : WriteOutcome::Conflict,
                         Revision.value_or(0), bootOf(To));
         });
  });
}

void DutyModel::send(std::size_t Index, const DutyAction &Action) {
  const Duration Connect =
      chance(0.1) ? upTo(seconds(2)) : upTo(milliseconds(10));
  tell(Index, Now + Connect, [this, Index, Action](Node &Of) {
    const auto Answer = [this, Index, Action](SendOutcome Outcome,
                                              Duration Delay) {
      tell(Index, Now + Delay, [this, Action, Outcome](Node &To) {
        onDutySent(To.State, Action.Report.Window, Outcome, false, bootOf(To));
      });
    };
    if (bootOf(Of) >= Action.SendUntil || Now < ReceiverDownUntil ||
        chance(0.05)) {
      Answer(SendOutcome::Retry, milliseconds(20));
      return;
    }
    at(Now + upTo(milliseconds(300)), [this, Answer, Action, Name = Of.Name] {
      Arrivals.push_back({.At = Now,
                          .Holder = Name,
                          .Token = Action.Token,
                          .Report = Action.Report});
      Answer(chance(0.2) ? SendOutcome::Retry : SendOutcome::Accepted,
             upTo(chance(0.1) ? Duration(seconds(1))
                              : Duration(milliseconds(20))));
    });
  });
}

std::string DutyModel::broken() const {
  std::map<UsageWindow, OrganisationCounts> Reports;
  std::map<std::uint64_t, std::string> Holders;
  std::map<std::string, TimePoint> LastOf;
  const Arrival *Last = nullptr;
  for (const Arrival &Next : Arrivals) {
    const auto Where = " (window " + std::to_string(Next.Report.Window) +
                       ", token " + std::to_string(Next.Token) + ")";
    if (Reports.try_emplace(Next.Report.Window, Next.Report.Counts)
            .first->second != Next.Report.Counts) {
      return "two different reports of a window" + Where;
    }
    if (Holders.try_emplace(Next.Token, Next.Holder).first->second !=
        Next.Holder) {
      return "a token of two holders" + Where;
    }
    if (Last && Next.Token < Last->Token) {
      return "a lower token after a higher one" + Where;
    }
    const auto Before = LastOf.find(Next.Holder);
    if (Last && Last->Holder != Next.Holder && Before != LastOf.end() &&
        Next.At - Before->second < Options.Times.Lease) {
      return "holders changed back within a lease" + Where;
    }
    LastOf[Next.Holder] = Next.At;
    Last = &Next;
  }
  return {};
}

} // namespace magnolia::policy::test
