#include "daemon/control/internal/control_core.h"

#include "daemon/announce/report_cleanup.h"
#include "daemon/control/clock.h"
#include "daemon/control/config_keys.h"
#include "daemon/control/view_builder.h"
#include "daemon/log/guarded.h"
#include "daemon/sidecar/sidecar.h"
#include "daemon/usage/boot_clock.h"
#include "daemon/view/response_recorder.h"
#include "daemon/view/view_holder.h"
#include "policy/core/epoch.h"
#include "policy/fleet/join.h"
#include "policy/overload/workload_aware.h"
#include "settings/record/format_record.h"
#include "settings/record/parse_record.h"
#include "settings/record/record_key.h"
#include "store/client/http_store.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>
#include <wire/control.pb.h>
#include <wire/gossip.pb.h>

namespace magnolia::daemon::internal {

namespace {

constexpr std::size_t MaximumQueuedTasks = 16384;
constexpr std::chrono::milliseconds TickPeriod{50};
constexpr std::chrono::milliseconds StoreTimeout{2000};
// Interval at which a watcher removes the reports of servers that left.
constexpr policy::Duration ReportRemovalInterval = std::chrono::hours(1);
// Minimum time between two views.
constexpr policy::Duration MinimumViewInterval = std::chrono::milliseconds(10);
// Interval at which a view with shares that change with time is rebuilt.
constexpr policy::Duration ViewRefreshInterval = std::chrono::milliseconds(500);

std::vector<policy::Contact> contactsIn(const store::RangeResult &Range) {
  std::vector<policy::Contact> Contacts;
  policy::Error LastError;
  for (const store::Entry &Entry : Range.Entries) {
    if (const auto Record = settings::parseContact(Entry.Value, LastError)) {
      Contacts.push_back(
          {.Address = Record->Address, .GossipPort = Record->GossipPort});
    }
  }
  return Contacts;
}

} // namespace

ControlCore::ControlCore(ControlOptions Given, ControlThread::Links Links)
    : Options(std::move(Given)), Shared(Links), Random(Options.Seed),
      Queue(MaximumQueuedTasks),
      Breakers(Shared.Overrides,
               [this](std::string Service, std::string RolloutId,
                      policy::Verdict Held) {
                 Queue.post([this, Service = std::move(Service),
                             RolloutId = std::move(RolloutId),
                             Held = std::move(Held)] {
                   Rollouts->onOwnVerdict(Service, RolloutId, Held);
                 });
               }),
      Fibers(1, {}), Client(Options.Key.Bytes, Options.Self.Node, Fibers) {}

bool ControlCore::open(policy::Error &LastError) {
  const policy::Member &Self = Options.Self;
  Gossip = GossipSocket::open(
      Self.Address, Self.GossipPort, Options.Key,
      [this](wire::GossipDatagram Datagram) {
        Queue.post([this, Datagram = std::move(Datagram)] {
          Membership->onDatagram(Datagram, steadyNow(),
                                 Config->table().Digest.Whole);
        });
      },
      LastError);
  if (!Gossip) {
    return false;
  }
  openStore();
  Membership =
      std::make_unique<MembershipRunner>(Self, *Gossip, Client, Queue, Random);
  Config = std::make_unique<ConfigRunner>(*Membership, Client, Queue, Random);
  Rollouts = std::make_unique<RolloutRunner>(
      RolloutRunner::Dependencies{.Membership = *Membership,
                                  .Config = *Config,
                                  .Breakers = Breakers,
                                  .Client = Client,
                                  .Queue = Queue,
                                  .Store = Store.get(),
                                  .Random = Random});
  openUsage();
  Membership->addContacts(Options.Contacts);
  Membership->setDifferenceHandler([this](const policy::Member &Other) {
    Config->onDifference(Other, steadyNow());
  });
  Config->setEntryHandler(
      [this](const policy::ConfigEntry &Entry, ConfigRunner::Source From) {
        onEntry(Entry, From);
      });
  Server = ControlServer::open(
      {.Address = Self.Address, .Port = Self.ControlPort}, Options.Key.Bytes,
      [this](wire::ControlBody Body, ControlReply Reply) {
        return onCall(std::move(Body), std::move(Reply));
      },
      Fibers, LastError);
  if (!Server) {
    return false;
  }
  connectTraffic();
  Join = policy::makeJoin(steadyNow(), Random, Options.Join);
  if (Options.StartRecords) {
    Queue.post([this] { applyStartRecords(); });
  }
  Thread = std::thread([this] { run(); });
  return true;
}

void ControlCore::openStore() {
  if (Options.StorePort == 0) {
    return;
  }
  Store = std::make_unique<StoreWorker>(
      Options.OpenStore(
          {.Address = Options.StoreAddress, .Port = Options.StorePort}),
      [this](store::WatchResult Result) {
        Queue.post([this, Result = std::move(Result)]() mutable {
          onStoreResult(std::move(Result));
        });
      },
      Options.Seed,
      Options.StartRecords ? std::optional(Options.StartRecords->StoreRevision)
                           : std::nullopt);
}

void ControlCore::openUsage() {
  if (!Options.Usage || !Options.Usage->Format || !Shared.Runs) {
    return;
  }
  Usage = std::make_unique<UsageRunner>(
      UsageRunner::Dependencies{.Membership = *Membership,
                                .Client = Client,
                                .Queue = Queue,
                                .Store = Store.get(),
                                .Runs = *Shared.Runs},
      *Options.Usage, UsageRunner::Clocks{.Boot = bootNow, .Wall = wallNow});
}

// The first node of a zone writes its contact at once, so that the nodes that
// start later find the fleet with their first read.
void ControlCore::applyStartRecords() {
  store::WatchResult Read = *std::move(Options.StartRecords);
  applyContacts(Read);
  const std::string First = settings::contactKey(Options.Self.Zone, 0);
  const bool ZoneHasContact = std::any_of(
      Read.Events.begin(), Read.Events.end(),
      [&](const store::WatchEvent &Next) { return Next.Key == First; });
  Config->onStartRecords(std::move(Read));
  if (!ZoneHasContact) {
    Store->submit(
        [Own = ownContact(0)](const store::StoreOperations &StoreAccess) {
          store::StoreError LastError;
          // After a conflict the contact of another node is in the store, which
          // is sufficient.
          (void)StoreAccess.Put(Own, StoreTimeout, LastError);
        });
  }
}

store::PutRequest ControlCore::ownContact(std::uint32_t Slot) const {
  const policy::Member &Self = Membership->self();
  return {.Key = settings::contactKey(Self.Zone, Slot),
          .Value = settings::formatContact({.Address = Self.Address,
                                            .GossipPort = Self.GossipPort,
                                            .Zone = Self.Zone,
                                            .Incarnation = Self.Run})};
}

// Applies the contacts of other nodes, through which a new node joins the
// fleet, and the last report that the local backend server sent before this
// node restarted.
void ControlCore::applyContacts(const store::WatchResult &Result) {
  std::vector<policy::Contact> Contacts;
  policy::Error LastError;
  for (const store::WatchEvent &Event : Result.Events) {
    if (Event.Deleted) {
      continue;
    }
    const std::string_view Key = Event.Key;
    if (Key.starts_with(settings::ContactPrefix)) {
      if (const auto Read = settings::parseContact(Event.Value, LastError)) {
        Contacts.push_back(
            {.Address = Read->Address, .GossipPort = Read->GossipPort});
      }
    } else if (Key == Options.BackendKey && Options.OnBackendRecord) {
      Options.OnBackendRecord(Event.Value);
    }
  }
  if (!Contacts.empty()) {
    Membership->addContacts(Contacts);
  }
}

void ControlCore::connectTraffic() {
  Shared.Responses.setHook(
      [this](const ResponseSample &Sample) { Breakers.count(Sample); });
  Shared.Backend.setListener([this](const LocalBackendState &State) {
    Queue.post([this, State] { onBackend(State); });
  });
  Queue.post([this] { onBackend(Shared.Backend.state()); });
}

void ControlCore::stop() {
  Shared.Backend.setListener({});
  Queue.close();
  if (Thread.joinable()) {
    Thread.join();
  }
  // The threads of these objects may still post to the closed queue, which
  // refuses their tasks.
  Store.reset();
  Server.reset();
  Gossip.reset();
}

void ControlCore::run() {
  auto NextTick = std::chrono::steady_clock::now();
  while (Queue.runFor(NextTick)) {
    const auto Now = std::chrono::steady_clock::now();
    if (Now >= NextTick) {
      (void)runGuarded("control tick", [this] { tick(); });
      NextTick = Now + TickPeriod;
    }
    if (!runGuarded("view", [this] { publishView(steadyNow()); })) {
      ViewDirty = true;
    }
  }
}

void ControlCore::tick() {
  const policy::TimePoint Now = steadyNow();
  Membership->tick(Now, Config->table().Digest.Whole);
  Config->tick(Now);
  Rollouts->tick(Now, wallNow());
  if (Usage) {
    Usage->tick({.Watching = Join.Watching,
                 .Leaving = Draining,
                 .Epoch = policy::epochOf(Config->table().HighestRevision)});
  }
  policy::onMembers(Join, Membership->members().size(), Now);
  if (const std::uint64_t Highest = Config->table().HighestRevision) {
    checkStoreEpoch(policy::epochOf(Highest), Now);
  }
  if (Store) {
    readContacts(Now);
    updateStoreWatch(Now);
    writeLostRecords(Now);
    removeReports(Now);
  }
}

void ControlCore::readContacts(policy::TimePoint Now) {
  if (!policy::takeContactRead(Join, Now)) {
    return;
  }
  Store->submit([this](const store::StoreOperations &Operations) {
    store::StoreError LastError;
    const auto Range =
        Operations.Range(settings::ContactPrefix, StoreTimeout, LastError);
    if (Range) {
      Queue.post([this, Contacts = contactsIn(*Range)] {
        Membership->addContacts(Contacts);
      });
    }
  });
}

void ControlCore::updateStoreWatch(policy::TimePoint Now) {
  if (policy::updateWatch(Join, Membership->isWatcher(), Now)) {
    log(LogLevel::Info,
        Join.Watching ? "store watch started" : "store watch ended");
    Store->setWatching(Join.Watching);
  }
  if (policy::takeContactWrite(Join, Now)) {
    writeContact();
  }
}

void ControlCore::writeContact() {
  const policy::Member &Self = Membership->self();
  const store::PutRequest Wanted =
      ownContact(policy::contactSlot(Self, Membership->watchers()));
  Store->submit([Wanted](const store::StoreOperations &Operations) {
    store::PutRequest Request = Wanted;
    store::StoreError LastError;
    const auto Held = Operations.Read(Request.Key, StoreTimeout, LastError);
    if (!Held && LastError.Kind != store::StoreErrorKind::NotFound) {
      return;
    }
    if (Held && Held->Value == Request.Value) {
      return;
    }
    Request.Expected = Held ? Held->ModRevision : 0;
    // After a conflict the write is repeated in the next period.
    (void)Operations.Put(Request, StoreTimeout, LastError);
  });
}

void ControlCore::removeReports(policy::TimePoint Now) {
  const bool Due = NextRemoval != policy::TimePoint{} && Now >= NextRemoval;
  if (Due && Join.Watching) {
    Store->submit([](const store::StoreOperations &Operations) {
      (void)removeObsoleteReports(Operations, wallNow());
    });
  }
  if (Due || NextRemoval == policy::TimePoint{}) {
    NextRemoval = Now + ReportRemovalInterval;
  }
}

void ControlCore::publishView(policy::TimePoint Now) {
  const bool Outdated = Config->isOutdated(settings::RoutingKey);
  if (Membership->generation() != ViewGeneration ||
      Outdated != RoutingOutdated) {
    ViewDirty = true;
  }
  const bool Due =
      ViewDirty ? Now >= LastView + MinimumViewInterval
                : ViewChangesWithTime && Now >= LastView + ViewRefreshInterval;
  if (!Due) {
    return;
  }
  ViewGeneration = Membership->generation();
  ViewDirty = false;
  RoutingOutdated = Outdated;
  LastView = Now;
  applyPendingRouting();
  ClusterView View = buildView({.Self = Membership->self(),
                                .Members = Membership->members(),
                                .Records = Records,
                                .RoutingOutdated = RoutingOutdated,
                                .ZoneDistance = Options.ZoneDistance,
                                .RegionDistance = Options.RegionDistance,
                                .SteadyNow = Now,
                                .WallNow = wallNow()});
  ViewChangesWithTime =
      !View.ZoneWeight.empty() ||
      std::any_of(Records.Rollouts.begin(), Records.Rollouts.end(),
                  [](const auto &Rollout) {
                    return !policy::hasEnded(Rollout.second);
                  });
  Shared.Own.setRun(Membership->self().Run);
  Shared.Own.setZoneOut(View.ZonesOut.contains(Options.Self.Zone));
  Shared.Own.setWorkloadAware(policy::isWorkloadAware(
      Options.WorkloadAware, View.Routing && hasBulkRoutes(*View.Routing)));
  Shared.Own.setOrganisations(View.Routing ? View.Routing->Organisations
                                           : nullptr);
  if (View.Routing) {
    const auto Limits =
        View.Routing->Services->find(Shared.Backend.state().Service);
    if (Limits != View.Routing->Services->end()) {
      Shared.Own.setCapacity(Limits->second.Connections,
                             Limits->second.ColdPerSecond);
    }
  }
  Shared.Views.publish(std::move(View));
}

void ControlCore::onBackend(const LocalBackendState &Backend) {
  Membership->announce(
      {.Service = Backend.Present ? Backend.Service : std::string(),
       .Version = Backend.Present ? Backend.Version : std::string(),
       .Draining = Draining || Backend.Draining});
}

void ControlCore::announceDraining() {
  Draining = true;
  onBackend(Shared.Backend.state());
}

void ControlCore::announceLeft() { Membership->leave(steadyNow()); }

} // namespace magnolia::daemon::internal
