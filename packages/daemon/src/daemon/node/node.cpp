#include "daemon/node/node.h"

#include "daemon/node/node_options.h"

#include "daemon/entry/parse_call.h"
#include "daemon/log/log.h"
#include "daemon/net/clock.h"
#include "policy/overload/late_request.h"
#include "settings/record/backend_record.h"
#include "settings/record/record_key.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

namespace magnolia::daemon {

namespace {

// Time after the last deadline for the responses to be sent.
constexpr std::chrono::milliseconds LastResponses{200};

} // namespace

Node::Node(settings::NodeSettings Given, wire::ClusterKey ClusterKey,
           const Dialect &Dialect, std::optional<store::WatchResult> Records)
    : Settings(std::move(Given)), Key(std::move(ClusterKey)), Speaks(Dialect),
      Id(policy::nodeIdOf(Settings.Address, Settings.PeerPort)),
      Run(wallClockIncarnation()), Bodies(Settings.BodyMemory),
      Link(Settings.LinkBytesPerSecond), Known(std::move(Records)),
      Reports(openStore(Settings, Speaks)),
      Peers(poolOptions(Settings, {.Node = Id, .Run = Run, .Key = Key})),
      Usage(usageSetup(Settings, Speaks)),
      Runs(Usage ? std::make_unique<RunCounter>(Usage->Times) : nullptr),
      LocalSidecar(
          sidecarOptions(Settings, Speaks, Run, Bodies, Link, Runs.get()),
          Backend, Counts),
      BackendAnnouncer({.Address = Settings.LocalBackend.Address,
                        .Port = Settings.LocalBackend.Port,
                        .SilentAfter = Settings.SilentAfter,
                        .IsKnownService =
                            [this](std::string_view Service) {
                              return isKnownService(Service);
                            },
                        .Persist =
                            [this](const policy::BackendReport &Report) {
                              return Reports.write(Report);
                            },
                        .IsStored =
                            [this](const policy::BackendReport &Report) {
                              return Reports.holds(Report);
                            }},
                       Speaks, LocalSidecar, Backend),
      EntryNode(entryOptions(Settings, Speaks, Id, Run, Bodies),
                {.Views = Views,
                 .Overrides = Overrides,
                 .Responses = Responses,
                 .Peers = Peers,
                 .Own = LocalSidecar,
                 .Counts = Counts}),
      PeerOptions(peerOptions(Settings, {.Node = Id, .Run = Run, .Key = Key},
                              Bodies, Link)),
      PeerRequests(LocalSidecar, PeerOptions),
      Endpoints{
          .Backend = Backend,
          .OwnAddress = Settings.Address,
          .Metrics =
              [this] {
                return Counts.prometheusText() +
                       (Control ? Control->metrics() : std::string());
              },
          .Dump = [this] { return State.text(); },
          .Announce =
              [this](const auto &Announcement) { announce(Announcement); },
          .Where =
              [this](const WhereQuery &Query) {
                return explainWhere(EntryNode, Query);
              }},
      CallerRequests(
          [this](HttpRequest Request, CallerWatch &From) {
            return serveCaller(EntryNode, Endpoints, std::move(Request), From);
          },
          Counts, Speaks,
          {.Limits = {.HeadBytes = Settings.HeaderBytes,
                      .BodyBytes = Settings.BodyBytes},
           .Memory = &Bodies,
           .Idle = Settings.CallerIdle,
           .Read = Settings.CallerRead,
           .Pipeline = {.Requests = Settings.PipelineRequests,
                        .Bytes = Settings.PipelineBytes},
           .PipelineFibers = Settings.HeldConnections},
          [this] {
            const auto Table = Views.current()->Routing;
            return Table ? Table->Callers : settings::CallerLimits{};
          },
          [this](const HttpRequest &Request) {
            return mayOverlap(EntryNode, Request);
          }),
      Traffic(Settings.TrafficThreads, {.Spin = Settings.Spin}),
      PeerServer({.Address = Settings.Address,
                  .Port = Settings.PeerPort,
                  .Maximum = Settings.PeerConnections,
                  .Serve = [this](Session &S) { PeerRequests.serve(S); },
                  .Refuse = {},
                  .Fibers = &Traffic}),
      HttpServer({.Address = callerEndpoint(Settings).Address,
                  .Port = callerEndpoint(Settings).Port,
                  .Maximum = Settings.HeldConnections,
                  .Serve = [this](Session &S) { CallerRequests.serve(S); },
                  .Refuse = [this](Session &S) { CallerRequests.refuse(S); },
                  .Fibers = &Traffic}) {
  State.add("entry", [this] { return dumpEntry(EntryNode); });
  State.add("sidecar", [this] { return dumpSidecar(LocalSidecar, Backend); });
  State.add("metrics", [this] { return dumpMetrics(Counts); });
  State.add("link", [this] { return dumpLink(Link); });
  State.add("body_memory", [this] { return dumpBodyMemory(Bodies); });
}

bool Node::start(policy::Error &LastError) {
  restoreStartReport();
  if (!Settings.Static.empty()) {
    publishStatic();
  }
  if (Settings.HasBackend) {
    const LocalBackendState Known = backendFromSettings(Settings);
    LocalSidecar.apply(Known, now());
    Backend.update(Known);
  }
  if (Settings.Static.empty() && !startControl(LastError)) {
    return false;
  }
  if (!PeerServer.start(LastError) || !HttpServer.start(LastError)) {
    return false;
  }
  if (!startAuxiliaryServers(LastError)) {
    return false;
  }
  Watch.emplace(
      LocalSidecar, Backend,
      BackendWatch::Options{.LoadPath = [this] { return healthPath(); },
                            .Interval = Settings.LoadPoll,
                            .FromSettings = Settings.HasBackend,
                            .AfterCheck =
                                [this](policy::TimePoint Now) {
                                  BackendAnnouncer.checkReportTimeout(Now);
                                }});
  Probes.emplace(EntryNode);
  return true;
}

bool Node::startAuxiliaryServers(policy::Error &LastError) {
  const auto Report = [this](const HttpRequest &Request, CallerWatch &) {
    return BackendAnnouncer.handleReport(Request);
  };
  const auto Readiness = [this](const HttpRequest &Request, CallerWatch &) {
    return readinessResponse(Request);
  };
  const auto Local = [this](const HttpRequest &Request, CallerWatch &) {
    return answerLocal(Endpoints, Request);
  };
  return startAuxiliaryServer(Settings.Announcements, Report, LastError) &&
         startAuxiliaryServer(Settings.Readiness, Readiness, LastError) &&
         startAuxiliaryServer(Settings.Metrics, Local, LastError);
}

bool Node::startAuxiliaryServer(const settings::HostPort &Where,
                                HttpService::Handler RequestHandler,
                                policy::Error &LastError) {
  if (Where.Port == 0) {
    return true;
  }
  AuxiliaryServer Added;
  Added.Service = std::make_unique<HttpService>(
      std::move(RequestHandler), Counts, Speaks,
      HttpServiceOptions{.Limits = {.HeadBytes = Settings.HeaderBytes,
                                    .BodyBytes = Settings.HeaderBytes},
                         .Memory = &Bodies,
                         .Idle = Settings.CallerIdle,
                         .Read = Settings.CallerRead});
  Added.Server = std::make_unique<ConnectionServer>(
      ConnectionServer::Options{.Address = Where.Address,
                                .Port = Where.Port,
                                .Maximum = Settings.HeldConnections,
                                .Serve = [Service = Added.Service.get()](
                                             Session &S) { Service->serve(S); },
                                .Refuse = {}});
  const bool Started = Added.Server->start(LastError);
  AuxiliaryServers.push_back(std::move(Added));
  return Started;
}

bool Node::isReady() const {
  return !Stopping && (!Speaks.RoutesByHost || Views.current()->Routing);
}

HttpResponse Node::readinessResponse(const HttpRequest &Request) const {
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
  return !View->Routing || View->Routing->Services->contains(Service);
}

void Node::restoreStartReport() {
  if (!Known) {
    return;
  }
  const std::string Key = settings::backendKey(Settings.LocalBackend.Address,
                                               Settings.LocalBackend.Port);
  for (const store::WatchEvent &Entry : Known->Events) {
    if (Entry.Key == Key) {
      Reports.setRevision(Key, Entry.ModRevision);
      restoreReport(Entry.Value);
    }
  }
}

void Node::restoreReport(std::string_view Value) {
  policy::Error LastError;
  if (const auto Stored = settings::parseBackend(Value, LastError)) {
    BackendAnnouncer.restore(*Stored);
  } else {
    log(LogLevel::Warning, "cannot parse the record of the backend server",
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
  const auto Limits = View->Routing->Services->find(Backend.state().Service);
  return Limits == View->Routing->Services->end() ? std::string()
                                                  : Limits->second.HealthPath;
}

bool Node::startControl(policy::Error &LastError) {
  const policy::Member Self = {.Node = Id,
                               .Address = Settings.Address,
                               .PeerPort = Settings.PeerPort,
                               .ControlPort = Settings.ControlPort,
                               .GossipPort = Settings.GossipPort,
                               .HttpPort = Settings.HttpPort,
                               .Region = Settings.Region,
                               .Zone = Settings.Zone,
                               .Run = Run};
  ControlOptions Options = {
      .Self = Self,
      .Key = Key,
      .StoreAddress = Settings.Store.Address,
      .StorePort = Settings.Store.Port,
      .ZoneDistance = Settings.ZoneDistance,
      .Seed = Id ^ Run,
      .WorkloadAware = policy::workloadSettingOf(Settings.WorkloadAware),
      .OpenStore = Speaks.OpenStore,
      .Join = joinOptions(Settings),
      .StartRecords = std::move(Known),
      .BackendKey = settings::backendKey(Settings.LocalBackend.Address,
                                         Settings.LocalBackend.Port),
      .OnBackendRecord = [this](std::string_view Value) {
        restoreReport(Value);
      }};
  Options.Usage = Usage;
  Options.StoreReportAgain = [this] { return BackendAnnouncer.storeAgain(); };
  for (const settings::HostPort &Contact : Settings.Contacts) {
    Options.Contacts.push_back(
        {.Address = Contact.Address, .GossipPort = Contact.Port});
  }
  Control = ControlThread::start(std::move(Options),
                                 {.Views = Views,
                                  .Responses = Responses,
                                  .Backend = Backend,
                                  .Overrides = Overrides,
                                  .Own = LocalSidecar,
                                  .Runs = Runs.get()},
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
  LocalSidecar.apply(Announced, now());
  Backend.update(Announced);
}

void Node::reload(const settings::NodeSettings &Next) {
  setLogLevel(logLevelOf(Next.LogLevel));
  LocalSidecar.reload(sidecarOptions(Next, Speaks, Run, Bodies, Link));
  EntryNode.setHedgeOptions(hedgeOptions(Next));
}

void Node::beginStop() {
  const policy::TimePoint Now = now();
  StopEnd = Now + (Settings.ShutdownGrace.count() > 0
                       ? policy::timeForRequests(Settings.ShutdownGrace)
                       : Settings.ShutdownAnnounce + Settings.ShutdownTimeout);
  Stopping = true;
  EntryNode.beginStop(
      {.Announced = Now + Settings.ShutdownAnnounce, .End = StopEnd});
  LocalSidecar.beginStop(StopEnd);
  CallerRequests.beginClose();
}

void Node::beginDrain() {
  LocalSidecar.drainNode();
  Backend.setDraining(true);
  if (Control) {
    Control->announceDraining();
  }
}

bool Node::finishStop() {
  // Requests of other nodes end first: the local backend server, which runs
  // them, may still make calls through this node.
  const policy::TimePoint Deadline = StopEnd + LastResponses;
  PeerServer.stopAccepting();
  const bool PeersDone = PeerServer.drain(Deadline);
  HttpServer.stopAccepting();
  const bool CallersDone = HttpServer.drain(Deadline);
  if (Control) {
    Control->announceLeft();
  }
  return PeersDone && CallersDone;
}

} // namespace magnolia::daemon
