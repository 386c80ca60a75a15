#include "daemon/node/node.h"

#include "daemon/log/log.h"
#include "daemon/net/clock.h"

#include <map>
#include <memory>
#include <utility>

namespace magnolia::daemon {

namespace {

PeerPool::Options poolOptions(const settings::NodeSettings &Settings,
                              const PeerIdentity &Own) {
  return {.Own = Own,
          .IdleMaximum = Settings.IdlePeerConnections,
          .IdleTimeout = Settings.PeerIdle,
          .ConnectTimeout = Settings.ConnectTimeout};
}

SidecarOptions sidecarOptions(const settings::NodeSettings &Settings,
                              policy::Incarnation Run) {
  return {.Run = Run,
          .AnswerLimits = {.HeadBytes = Settings.HeaderBytes,
                           .BodyBytes = Settings.AnswerBytes},
          .ConnectTimeout = Settings.ConnectTimeout,
          .MaxWaiting = Settings.WaitQueue,
          .LedgerEntries = Settings.LedgerEntries};
}

EntryOptions entryOptions(const settings::NodeSettings &Settings,
                          policy::NodeId Id, policy::Incarnation Run) {
  return {.Node = Id,
          .Run = Run,
          .Spin = Settings.Spin,
          .Deadline = Settings.Deadline,
          .DeadlineMaximum = Settings.DeadlineMaximum,
          .FenceTimeout = Settings.FenceTimeout,
          .Hops = Settings.Hops,
          .Exchange = {.AnswerBytes = Settings.AnswerBytes,
                       .PingAfter = Settings.PingAfter,
                       .PingTimeout = Settings.PingTimeout}};
}

PeerServiceOptions peerOptions(const settings::NodeSettings &Settings,
                               const PeerIdentity &Own) {
  PeerServiceOptions Options;
  Options.Own = Own;
  Options.BodyBytes = Settings.BodyBytes;
  Options.ReadTimeout = Settings.CallerRead;
  constexpr int IdleFactor = 3;
  Options.IdleTimeout = Settings.PeerIdle * IdleFactor;
  Options.Spin = Settings.Spin;
  return Options;
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

} // namespace

Node::Node(settings::NodeSettings Given, wire::ClusterKey ClusterKey)
    : Settings(std::move(Given)), Key(std::move(ClusterKey)),
      Id(policy::nodeIdOf(Settings.Address, Settings.PeerPort)),
      Run(wallClockIncarnation()),
      Peers(poolOptions(Settings, {.Node = Id, .Run = Run, .Key = Key})),
      Own(sidecarOptions(Settings, Run), Backend, Counts),
      Calls(entryOptions(Settings, Id, Run), {.Views = Views,
                                              .Cuts = Cuts,
                                              .Evidence = Evidence,
                                              .Peers = Peers,
                                              .Own = Own,
                                              .Counts = Counts}),
      PeerOptions(peerOptions(Settings, {.Node = Id, .Run = Run, .Key = Key})),
      PeerSide(Own, PeerOptions),
      Endpoints{.Backend = Backend,
                .OwnAddress = Settings.Address,
                .Metrics =
                    [this] {
                      return Counts.prometheusText() +
                             (Control ? Control->metrics() : std::string());
                    },
                .Dump = [this] { return State.text(); },
                .Announce = [this](const auto &Told) { announce(Told); }},
      CallerSide(Calls, Endpoints,
                 {.Limits = {.HeadBytes = Settings.HeaderBytes,
                             .BodyBytes = Settings.BodyBytes},
                  .Idle = Settings.CallerIdle,
                  .Read = Settings.CallerRead}),
      PeerServer({.Address = Settings.Address,
                  .Port = Settings.PeerPort,
                  .Maximum = Settings.PeerConnections,
                  .Serve = [this](Session &S) { PeerSide.serve(S); },
                  .Refuse = {}}),
      HttpServer({.Address = Settings.Address,
                  .Port = Settings.HttpPort,
                  .Maximum = Settings.HeldConnections,
                  .Serve = [this](Session &S) { CallerSide.serve(S); },
                  .Refuse = [this](int Fd) { CallerSide.refuse(Fd); }}) {
  State.add("entry", [this] { return dumpEntry(Calls); });
  State.add("sidecar", [this] { return dumpSidecar(Own, Backend); });
  State.add("metrics", [this] { return dumpMetrics(Counts); });
}

bool Node::start(policy::Error &LastError) {
  if (!Settings.Static.empty()) {
    publishStatic();
  }
  if (Settings.HasBackend) {
    const LocalBackendState Known = backendFromSettings(Settings);
    Own.apply(Known, now());
    Backend.update(Known);
  }
  if (Settings.Static.empty() && !startControl(LastError)) {
    return false;
  }
  if (!PeerServer.start(LastError) || !HttpServer.start(LastError)) {
    return false;
  }
  constexpr auto NoPath = "";
  Watch.emplace(Own, Backend,
                BackendWatch::Options{.LoadPath = Settings.HasBackend
                                                      ? Settings.BackendLoadPath
                                                      : NoPath,
                                      .Interval = Settings.LoadPoll,
                                      .FromSettings = Settings.HasBackend});
  Probes.emplace(Calls);
  return true;
}

bool Node::startControl(policy::Error &LastError) {
  ControlOptions Options = {.Self = {.Node = Id,
                                     .Address = Settings.Address,
                                     .PeerPort = Settings.PeerPort,
                                     .ControlPort = Settings.ControlPort,
                                     .GossipPort = Settings.GossipPort,
                                     .HttpPort = Settings.HttpPort,
                                     .Region = Settings.Region,
                                     .Zone = Settings.Zone,
                                     .Run = Run},
                            .Key = Key,
                            .StoreAddress = Settings.Store.Address,
                            .StorePort = Settings.Store.Port,
                            .ZoneDistance = Settings.ZoneDistance,
                            .Seed = Id ^ Run};
  for (const settings::HostPort &Contact : Settings.Contacts) {
    Options.Contacts.push_back(
        {.Address = Contact.Address, .GossipPort = Contact.Port});
  }
  Control = ControlThread::start(std::move(Options),
                                 {.Views = Views,
                                  .Evidence = Evidence,
                                  .Backend = Backend,
                                  .Cuts = Cuts,
                                  .Own = Own},
                                 LastError);
  if (!Control) {
    return false;
  }
  State.add("control", [this] { return Control->dump(); });
  return true;
}

void Node::publishStatic() {
  std::map<std::string, ServiceView> Services;
  for (const settings::StaticEndpoint &Given : Settings.Static) {
    ServiceView &Service = Services[Given.Service];
    Service.Name = Given.Service;
    const bool SameZone = Given.Zone == Settings.Zone;
    Service.Backends.push_back(
        {.Node = policy::nodeIdOf(Given.Address, Given.PeerPort),
         .Address = Given.Address,
         .PeerPort = Given.PeerPort,
         .Zone = Given.Zone,
         .Version = Given.Version,
         .Run = 0,
         .Draining = false,
         .ZoneDistance =
             SameZone ? policy::Duration{0} : Settings.ZoneDistance});
  }
  ClusterView View;
  for (auto &[Name, Service] : Services) {
    View.Services.emplace(
        Name, std::make_shared<const ServiceView>(std::move(Service)));
  }
  Views.publish(std::move(View));
}

void Node::announce(const LocalBackendState &Announced) {
  log(LogLevel::Info,
      Announced.Draining ? "the backend server is leaving"
                         : "the backend server is there",
      {{"service", std::string_view(Announced.Service)},
       {"version", std::string_view(Announced.Version)},
       {"port", std::uint64_t{Announced.Port}},
       {"slots", std::uint64_t{Announced.Slots}},
       {"incarnation", Announced.Run}});
  Own.apply(Announced, now());
  Backend.update(Announced);
}

void Node::beginStop() {
  Own.drain();
  Backend.setDraining(true);
  if (Control) {
    Control->announceDraining();
  }
  CallerSide.beginClose();
}

bool Node::finishStop() {
  const policy::TimePoint Deadline = now() + Settings.ShutdownTimeout;
  // Callers first: their requests may need the peer connections.
  HttpServer.stopAccepting();
  const bool CallersDone = HttpServer.drain(Deadline);
  PeerServer.stopAccepting();
  const bool PeersDone = PeerServer.drain(Deadline);
  if (Control) {
    Control->announceLeft();
  }
  return PeersDone && CallersDone;
}

} // namespace magnolia::daemon
