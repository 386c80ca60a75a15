#include "daemon/node/node_options.h"

#include "daemon/log/log.h"
#include "daemon/net/clock.h"

#include <algorithm>
#include <chrono>

namespace magnolia::daemon {

namespace {

// Maximum number of sidecars to which one request is sent.
constexpr std::uint32_t RoutedAttempts = 4;

constexpr double Percent = 100.0;

// Sidecars that route by host reject by priority. The entry node does not know
// the priorities, so shedding there would also reject urgent requests. A retry
// after a rejection adds no load to a backend server.
ServiceTable::Options serviceOptions(const settings::NodeSettings &Settings,
                                     const Dialect &Speaks) {
  ServiceTable::Options Options;
  Options.Route.FarFactor = Settings.FarPercent / Percent;
  Options.Retry.Cap = Settings.RetryBurst;
  Options.Retry.FloorPerSecond = Settings.RetryFloor / Percent;
  if (Speaks.RoutesByHost) {
    Options.Retry.FreeRejections = true;
    Options.Retry.MaxAttempts = RoutedAttempts;
    Options.Overload.MaxShed = 0;
  }
  return Options;
}

// Contacts change rarely, and each check of them is a call to the store.
constexpr policy::Duration ShortestContactPeriod = std::chrono::seconds(10);

} // namespace

PeerPool::Options poolOptions(const settings::NodeSettings &Settings,
                              const PeerIdentity &Own) {
  return {.Own = Own,
          .IdleMaximum = Settings.IdlePeerConnections,
          .IdleTimeout = Settings.PeerIdle,
          .ConnectTimeout = Settings.ConnectTimeout};
}

SidecarOptions sidecarOptions(const settings::NodeSettings &Settings,
                              const Dialect &Speaks, policy::Incarnation Run,
                              BodyMemory &Memory, const LinkPacer &Link,
                              RunCounter *Runs) {
  return {.Run = Run,
          .Speaks = &Speaks,
          .ResponseLimits = {.HeadBytes = Settings.HeaderBytes,
                             .BodyBytes = Settings.ResponseBytes},
          .Memory = &Memory,
          .Link = &Link,
          .Runs = Runs,
          .ConnectTimeout = Settings.ConnectTimeout,
          .MaxWaiting = Settings.WaitQueue,
          .UsableShare = Settings.UsablePercent / Percent,
          .ColdFactor = Settings.ColdPercent / Percent,
          .SlowPercent = Settings.SlowPercent,
          .RepeatRatio = Settings.RepeatPercent / Percent,
          .RepeatSlack = static_cast<double>(Settings.RepeatSlack),
          .LedgerEntries = Settings.LedgerEntries};
}

EntryOptions entryOptions(const settings::NodeSettings &Settings,
                          const Dialect &Speaks, policy::NodeId Id,
                          policy::Incarnation Run, BodyMemory &Memory) {
  return {.Node = Id,
          .Run = Run,
          .Start = now(),
          .Spin = Settings.Spin,
          .Deadline = Settings.Deadline,
          .DeadlineMaximum = Settings.DeadlineMaximum,
          .FenceTimeout = Settings.FenceTimeout,
          .Hops = Settings.Hops,
          .Speaks = &Speaks,
          .Address = Settings.Address,
          .CallerAddress = callerEndpoint(Settings).Address,
          .LocalService = Settings.LocalService,
          .WorkloadAware = policy::workloadSettingOf(Settings.WorkloadAware),
          .ShedByLosses = Settings.ShedByLosses == "on",
          .Services = serviceOptions(Settings, Speaks),
          .Hedge = hedgeOptions(Settings),
          .Exchange = {.ResponseBytes = Settings.ResponseBytes,
                       .Memory = &Memory,
                       .PingAfter = Settings.PingAfter,
                       .PingTimeout = Settings.PingTimeout,
                       .LostAfter =
                           std::max(Settings.LostAfter, Settings.PingTimeout)}};
}

policy::HedgeOptions hedgeOptions(const settings::NodeSettings &Settings) {
  return {.Percent = Settings.HedgePercent,
          .Quantile = Settings.HedgeQuantile,
          .MinDelayMs =
              static_cast<std::uint32_t>(Settings.HedgeMinDelay.count())};
}

PeerServiceOptions peerOptions(const settings::NodeSettings &Settings,
                               const PeerIdentity &Own, BodyMemory &Memory,
                               LinkPacer &Link) {
  PeerServiceOptions Options;
  Options.Own = Own;
  Options.BodyBytes = Settings.BodyBytes;
  Options.Memory = &Memory;
  Options.Link = &Link;
  Options.ReadTimeout = Settings.CallerRead;
  constexpr int IdleFactor = 3;
  Options.IdleTimeout = Settings.PeerIdle * IdleFactor;
  Options.Spin = Settings.Spin;
  return Options;
}

policy::JoinOptions joinOptions(const settings::NodeSettings &Settings) {
  const policy::Duration Delay = Settings.JoinDelay;
  return {.SettleTime = Delay,
          .AloneTime = 3 * Delay,
          .Jitter = 2 * Delay,
          .ContactReadPeriod = 3 * Delay,
          .ContactWritePeriod =
              std::max<policy::Duration>(30 * Delay, ShortestContactPeriod)};
}

std::optional<UsageSetup> usageSetup(const settings::NodeSettings &Settings,
                                     const Dialect &Speaks) {
  if (Settings.UsageEndpoint.Port == 0) {
    return std::nullopt;
  }
  if (!Speaks.FormatUsage) {
    log(LogLevel::Warning, "the interface has no usage report");
    return std::nullopt;
  }
  const policy::UsageOptions Given = {.Window = Settings.UsageWindow,
                                      .Delay = Settings.UsageDelay,
                                      .Lease = Settings.UsageLease};
  return UsageSetup{
      .Address = Settings.UsageEndpoint.Address,
      .Port = Settings.UsageEndpoint.Port,
      .Times = Speaks.ReadUsageTimes
                   ? Speaks.ReadUsageTimes(Settings.InterfaceKeys, Given)
                   : Given,
      .Format = Speaks.FormatUsage};
}

settings::HostPort callerEndpoint(const settings::NodeSettings &Settings) {
  return Settings.Callers.Port != 0
             ? Settings.Callers
             : settings::HostPort{.Address = Settings.Address,
                                  .Port = Settings.HttpPort};
}

store::StoreOperations openStore(const settings::NodeSettings &Settings,
                                 const Dialect &Speaks) {
  if (Settings.Store.Port == 0) {
    return {};
  }
  return Speaks.OpenStore(
      {.Address = Settings.Store.Address, .Port = Settings.Store.Port});
}

LocalBackendState backendFromSettings(const settings::NodeSettings &Settings) {
  return {.Service = Settings.BackendService,
          .Version = Settings.BackendVersion,
          .Address = Settings.BackendAddress,
          .Port = Settings.BackendPort,
          .Slots = Settings.BackendSlots,
          .Connections = Settings.BackendConnections,
          .Run = 0,
          .Draining = false,
          .Present = false};
}

} // namespace magnolia::daemon
