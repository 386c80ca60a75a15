#include "policy/fleet/restore.h"

#include <utility>

namespace magnolia::policy {

namespace {

TimePoint withJitter(TimePoint Time, const RestoreOptions &Options,
                     RandomEngine &Random) {
  std::uniform_int_distribution<Duration::rep> Jitter(0,
                                                      Options.Jitter.count());
  return Time + Duration(Jitter(Random));
}

bool takeIfDue(std::optional<TimePoint> &Due, TimePoint Now) {
  if (!Due || Now < *Due) {
    return false;
  }
  Due.reset();
  return true;
}

} // namespace

bool onEpoch(RestoreState &State, std::uint64_t Epoch, TimePoint Now,
             RandomEngine &Random) {
  if (State.Epoch && Epoch <= *State.Epoch) {
    return false;
  }
  const bool Rose = State.Epoch.has_value();
  State.Epoch = Epoch;
  State.SettledAt = Now + State.Options.SettleTime;
  if (Rose) {
    State.ReportAt = withJitter(Now, State.Options, Random);
    State.ReadAt = withJitter(State.SettledAt, State.Options, Random);
  }
  return Rose;
}

bool hasSettled(const RestoreState &State, std::uint64_t Epoch, TimePoint Now) {
  return State.Epoch == Epoch && Now >= State.SettledAt;
}

bool takeReportWrite(RestoreState &State, TimePoint Now) {
  return takeIfDue(State.ReportAt, Now);
}

bool takeFullRead(RestoreState &State, TimePoint Now) {
  return takeIfDue(State.ReadAt, Now);
}

void repeatReportWrite(RestoreState &State, TimePoint Now,
                       RandomEngine &Random) {
  State.ReportAt =
      withJitter(Now + State.Options.Jitter, State.Options, Random);
}

void repeatFullRead(RestoreState &State, TimePoint Now, RandomEngine &Random) {
  State.ReadAt = withJitter(Now + State.Options.Jitter, State.Options, Random);
}

bool mustWriteClusterKey(std::string_view Own, std::uint64_t OwnEpoch,
                         const StoredClusterKey &Held) {
  return Held.Value.empty() || (Held.Value != Own && OwnEpoch < Held.Epoch);
}

} // namespace magnolia::policy
