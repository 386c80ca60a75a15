#include "daemon/node/node.h"

#include "daemon/node/node_options.h"

#include "daemon/log/log.h"
#include "daemon/net/clock.h"
#include "daemon/net/socket.h"
#include "settings/record/backend_record.h"
#include "settings/record/record_key.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

namespace magnolia::daemon {

namespace {

// Calls to the store that a backend server waits for, which gives up after a
// second.
constexpr std::chrono::milliseconds KeepTimeout{350};
constexpr std::chrono::milliseconds ReportLease{600'000};

} // namespace

Node::Node(settings::NodeSettings Given, wire::ClusterKey ClusterKey,
           const Dialect &Dialect, std::optional<store::WatchResult> Records)
    : Settings(std::move(Given)), Key(std::move(ClusterKey)), Speaks(Dialect),
      Id(policy::nodeIdOf(Settings.Address, Settings.PeerPort)),
      Run(wallClockIncarnation()), Known(std::move(Records)),
      Store(openStore(Settings, Speaks)),
      Peers(poolOptions(Settings, {.Node = Id, .Run = Run, .Key = Key})),
      Own(sidecarOptions(Settings, Speaks, Run), Backend, Counts),
      Reports({.Address = Settings.LocalBackend.Address,
               .Port = Settings.LocalBackend.Port,
               .SilentAfter = Settings.SilentAfter,
               .IsKnownService =
                   [this](std::string_view Service) {
                     return isKnownService(Service);
                   },
               .Persist =
                   [this](const policy::BackendReport &Report) {
                     return keepReport(Report);
                   }},
              Speaks, Own, Backend),
      Calls(entryOptions(Settings, Speaks, Id, Run), {.Views = Views,
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
      CallerSide(
          [this](HttpRequest Request, int Fd) {
            return serveCaller(Calls, Endpoints, std::move(Request), Fd);
          },
          Counts, Speaks,
          {.Limits = {.HeadBytes = Settings.HeaderBytes,
                      .BodyBytes = Settings.BodyBytes},
           .Idle = Settings.CallerIdle,
           .Read = Settings.CallerRead},
          [this] {
            const auto Table = Views.current()->Routing;
            return Table ? Table->Callers : settings::CallerLimits{};
          }),
      Traffic(Settings.TrafficThreads, {.Spin = Settings.Spin}),
      PeerServer({.Address = Settings.Address,
                  .Port = Settings.PeerPort,
                  .Maximum = Settings.PeerConnections,
                  .Serve = [this](Session &S) { PeerSide.serve(S); },
                  .Refuse = {},
                  .Fibers = &Traffic}),
      HttpServer({.Address = callersOf(Settings).Address,
                  .Port = callersOf(Settings).Port,
                  .Maximum = Settings.HeldConnections,
                  .Serve = [this](Session &S) { CallerSide.serve(S); },
                  .Refuse = [this](int Fd) { CallerSide.refuse(Fd); },
                  .Fibers = &Traffic}) {
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
  if (!startSideServers(LastError)) {
    return false;
  }
  Watch.emplace(
      Own, Backend,
      BackendWatch::Options{.LoadPath = [this] { return healthPath(); },
                            .Interval = Settings.LoadPoll,
                            .FromSettings = Settings.HasBackend,
                            .AfterCheck =
                                [this](policy::TimePoint Now) {
                                  Reports.checkReportTimeout(Now);
                                }});
  Probes.emplace(Calls);
  return true;
}

bool Node::startSideServers(policy::Error &LastError) {
  const auto Report = [this](const HttpRequest &Request, int) {
    return Reports.handleReport(Request);
  };
  const auto Readiness = [this](const HttpRequest &Request, int) {
    return answerReadiness(Request);
  };
  const auto Local = [this](const HttpRequest &Request, int Fd) {
    return answerLocal(Endpoints, Request, remoteAddress(Fd));
  };
  return startSide(Settings.Announcements, Report, LastError) &&
         startSide(Settings.Readiness, Readiness, LastError) &&
         startSide(Settings.Metrics, Local, LastError);
}

bool Node::startSide(const settings::HostPort &Where,
                     HttpService::Handler Answer, policy::Error &LastError) {
  if (Where.Port == 0) {
    return true;
  }
  SideServer Side;
  Side.Service = std::make_unique<HttpService>(
      std::move(Answer), Counts, Speaks,
      HttpServiceOptions{.Limits = {.HeadBytes = Settings.HeaderBytes,
                                    .BodyBytes = Settings.HeaderBytes},
                         .Idle = Settings.CallerIdle,
                         .Read = Settings.CallerRead});
  Side.Server = std::make_unique<ConnectionServer>(
      ConnectionServer::Options{.Address = Where.Address,
                                .Port = Where.Port,
                                .Maximum = Settings.HeldConnections,
                                .Serve = [Service = Side.Service.get()](
                                             Session &S) { Service->serve(S); },
                                .Refuse = {}});
  const bool Started = Side.Server->start(LastError);
  Sides.push_back(std::move(Side));
  return Started;
}

bool Node::isReady() const {
  return !Stopping && (!Speaks.RoutesByHost || Views.current()->Routing);
}

HttpResponse Node::answerReadiness(const HttpRequest &Request) const {
  constexpr std::uint16_t NotFound = 404;
  constexpr std::uint16_t Unavailable = 503;
  HttpResponse Response;
  if (Request.Target != Speaks.ReadinessPath) {
    Response.Status = NotFound;
  } else if (!isReady()) {
    Response.Status = Unavailable;
  }
  return Response;
}

bool Node::isKnownService(std::string_view Service) const {
  const auto View = Views.current();
  return !View->Routing || View->Routing->Services.contains(Service);
}

// Without a store there is nothing that a restarted node could read.
bool Node::keepReport(const policy::BackendReport &Report) {
  if (!Store.Put) {
    return true;
  }
  store::StoreError LastError;
  store::PutRequest Request = {
      .Key = settings::backendKey(Report.Address, Report.Port),
      .Value = settings::formatBackend(Report)};
  const auto Lease = Store.GrantLease(ReportLease, KeepTimeout, LastError);
  if (Lease) {
    Request.Lease = *Lease;
    bool Kept = Store.Put(Request, KeepTimeout, LastError).has_value();
    if (!Kept && LastError.Kind == store::StoreErrorKind::Conflict) {
      Request.Expected = LastError.Current;
      Kept = Store.Put(Request, KeepTimeout, LastError).has_value();
    }
    if (Kept) {
      return true;
    }
  }
  log(LogLevel::Warning, "report of the backend server not kept",
      {{"instance", std::string_view(Report.Instance)},
       {"reason", std::string_view(LastError.Detail)}});
  return false;
}

void Node::restoreReport(std::string_view Value) {
  policy::Error LastError;
  if (const auto Kept = settings::parseBackend(Value, LastError)) {
    Reports.restore(*Kept);
  } else {
    log(LogLevel::Warning, "record of the backend server not read",
        {{"reason", std::string_view(LastError.Detail)}});
  }
}

std::string Node::healthPath() const {
  if (Settings.HasBackend) {
    return Settings.BackendLoadPath;
  }
  const auto View = Views.current();
  if (!View->Routing) {
    return {};
  }
  const auto Limits = View->Routing->Services.find(Backend.state().Service);
  return Limits == View->Routing->Services.end() ? std::string()
                                                 : Limits->second.HealthPath;
}

bool Node::startControl(policy::Error &LastError) {
  ControlOptions Options = {
      .Self = {.Node = Id,
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
      .Seed = Id ^ Run,
      .OpenStore = Speaks.OpenStore,
      .Join = joinOptions(Settings),
      .StartRecords = std::move(Known),
      .BackendKey = settings::backendKey(Settings.LocalBackend.Address,
                                         Settings.LocalBackend.Port),
      .OnBackendRecord = [this](std::string_view Value) {
        restoreReport(Value);
      }};
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

void Node::reload(const settings::NodeSettings &Next) {
  setLogLevel(logLevelOf(Next.LogLevel));
  Own.reload(sidecarOptions(Next, Speaks, Run));
}

void Node::beginStop() {
  Stopping = true;
  CallerSide.beginClose();
}

void Node::beginDrain() {
  Own.drain();
  Backend.setDraining(true);
  if (Control) {
    Control->announceDraining();
  }
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
