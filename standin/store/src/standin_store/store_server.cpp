#include "standin_store/store_server.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace magnolia::standin {
namespace {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using Milliseconds = std::chrono::milliseconds;

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int LeaseGone = 410;
constexpr int TooLarge = 413;
constexpr int Unavailable = 503;

// Base64 length of the largest value, 1 MiB.
constexpr std::size_t MaxEncodedValue = (1024UL * 1024 + 2) / 3 * 4;
constexpr std::size_t MaxBody = 2UL * 1024 * 1024;
constexpr std::size_t KeepAliveRequests = 1'000'000;
constexpr Milliseconds MaxWait{60'000};

void respond(httplib::Response &Response, int Status, const Json &Body) {
  Response.status = Status;
  Response.set_content(Body.dump(), "application/json");
}

Json toJson(const StoredEntry &Entry) {
  Json Object{{"key", Entry.Key},
              {"value", Entry.Value},
              {"revision", Entry.Revision},
              {"lease", Entry.Lease}};
  if (Entry.Deleted)
    Object["deleted"] = true;
  return Object;
}

Json toJson(const std::vector<StoredEntry> &Entries) {
  Json Array = Json::array();
  for (const StoredEntry &Entry : Entries)
    Array.push_back(toJson(Entry));
  return Array;
}

std::uint64_t numberParameter(const httplib::Request &Request,
                              const char *Name) {
  return std::strtoull(Request.get_param_value(Name).c_str(), nullptr, 10);
}

std::uint64_t numberField(const Json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_number_unsigned()
             ? Found->get<std::uint64_t>()
             : 0;
}

std::string textField(const Json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_string() ? Found->get<std::string>()
                                                     : std::string();
}

std::optional<FaultMode> faultModeOf(std::string_view Name) {
  if (Name == "none")
    return FaultMode::None;
  if (Name == "down")
    return FaultMode::Down;
  if (Name == "slow")
    return FaultMode::Slow;
  if (Name == "lose_answers")
    return FaultMode::LoseResponses;
  return std::nullopt;
}

// Sends the headers of a response and closes the connection.
void loseResponse(httplib::Response &Response) {
  Response = httplib::Response();
  Response.status = Ok;
  Response.set_content_provider(
      1, "application/json",
      [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

} // namespace

struct StoreServer::Implementation {
  using Handler =
      std::function<void(const httplib::Request &, httplib::Response &,
                         std::unique_lock<std::mutex> &)>;

  explicit Implementation(StoreServerOptions Given)
      : Options(std::move(Given)), State(Options.History) {}

  // Wraps a handler with locking, call counting and fault injection.
  httplib::Server::Handler wrap(const char *Kind, bool Writes,
                                const Handler &Handle);
  Fault takeFault(bool Writes);
  void addRoutes();
  void addKeyRoutes();
  void addLeaseRoutes();
  void addControlRoutes();
  void put(const httplib::Request &Request, httplib::Response &Response);
  void watch(const httplib::Request &Request, httplib::Response &Response,
             std::unique_lock<std::mutex> &Lock);
  void setFault(const Fault &NewFault);

  StoreServerOptions Options;
  httplib::Server Server;
  std::thread Thread;
  std::uint16_t Port = 0;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  KvState State;
  Fault Current;
  Counters Counts;
  bool Stopping = false;
};

Fault StoreServer::Implementation::takeFault(bool Writes) {
  const Fault Taken = Current;
  if (Taken.Mode == FaultMode::None ||
      (Taken.Mode == FaultMode::LoseResponses && !Writes))
    return {};
  if (Current.Count > 0 && --Current.Count == 0)
    Current = {};
  return Taken;
}

httplib::Server::Handler
StoreServer::Implementation::wrap(const char *Kind, bool Writes,
                                  const Handler &Handle) {
  return [this, Kind, Writes, Handle](const httplib::Request &Request,
                                      httplib::Response &Response) {
    std::unique_lock Lock(Mutex);
    ++Counts.Calls[Kind];
    const Fault Affects = takeFault(Writes);
    if (Affects.Mode == FaultMode::Down)
      return respond(Response, Unavailable, {{"error", "down"}});
    if (Affects.Delay > Milliseconds::zero())
      Changed.wait_for(Lock, Affects.Delay, [this] { return Stopping; });
    State.expire(Clock::now());
    Handle(Request, Response, Lock);
    if (Writes)
      Changed.notify_all();
    if (Affects.Mode == FaultMode::LoseResponses)
      loseResponse(Response);
  };
}

void StoreServer::Implementation::put(const httplib::Request &Request,
                                      httplib::Response &Response) {
  const Json Body = Json::parse(Request.body, nullptr, false);
  StoredEntry Entry;
  if (Body.is_object()) {
    Entry.Key = textField(Body, "key");
    Entry.Value = textField(Body, "value");
    Entry.Lease = numberField(Body, "lease");
  }
  if (Entry.Key.empty())
    return respond(Response, BadRequest, {{"error", "no key"}});
  if (Entry.Value.size() > MaxEncodedValue)
    return respond(Response, TooLarge, {{"error", "value over 1 MiB"}});
  const auto Result =
      State.put(std::move(Entry), numberField(Body, "expected_revision"));
  respond(Response, Result.Status, {{"revision", Result.Revision}});
}

void StoreServer::Implementation::watch(const httplib::Request &Request,
                                        httplib::Response &Response,
                                        std::unique_lock<std::mutex> &Lock) {
  const std::string Prefix = Request.get_param_value("prefix");
  const std::uint64_t After = numberParameter(Request, "after");
  const Milliseconds Wait = std::min(
      MaxWait, Milliseconds(static_cast<std::int64_t>(std::min<std::uint64_t>(
                   numberParameter(Request, "wait_ms"), MaxWait.count()))));
  const Clock::time_point End = Clock::now() + Wait;
  KvState::Changes Found = State.changes(Prefix, After);
  ++Counts.WaitingWatches;
  while (Found.Events.empty() && !Found.Full && !Stopping &&
         Current.Mode != FaultMode::Down && Clock::now() < End) {
    Changed.wait_until(Lock, std::min(End, State.nextExpiry().value_or(End)));
    State.expire(Clock::now());
    Found = State.changes(Prefix, After);
  }
  --Counts.WaitingWatches;
  if (Stopping || Current.Mode == FaultMode::Down)
    return respond(Response, Unavailable, {{"error", "down"}});
  respond(Response, Ok,
          {{"events", toJson(Found.Events)},
           {"revision", State.revision()},
           {"full", Found.Full}});
}

void StoreServer::Implementation::addKeyRoutes() {
  Server.Get("/v1/kv",
             wrap("read", false, [this](auto &Request, auto &Response, auto &) {
               const StoredEntry *Entry =
                   State.find(Request.get_param_value("key"));
               if (Entry == nullptr)
                 return respond(Response, NotFound, {{"error", "no such key"}});
               respond(Response, Ok, toJson(*Entry));
             }));
  Server.Get(
      "/v1/range",
      wrap("range", false, [this](auto &Request, auto &Response, auto &) {
        respond(Response, Ok,
                {{"entries",
                  toJson(State.range(Request.get_param_value("prefix")))},
                 {"revision", State.revision()}});
      }));
  Server.Put("/v1/kv",
             wrap("put", true, [this](auto &Request, auto &Response, auto &) {
               put(Request, Response);
             }));
  Server.Delete(
      "/v1/kv",
      wrap("delete", true, [this](auto &Request, auto &Response, auto &) {
        const auto Result =
            State.erase(Request.get_param_value("key"),
                        numberParameter(Request, "expected_revision"));
        respond(Response, Result.Status, {{"revision", Result.Revision}});
      }));
  Server.Get(
      "/v1/watch",
      wrap("watch", false, [this](auto &Request, auto &Response, auto &Lock) {
        watch(Request, Response, Lock);
      }));
}

void StoreServer::Implementation::addLeaseRoutes() {
  Server.Post(
      "/v1/leases",
      wrap("lease_grant", true, [this](auto &Request, auto &Response, auto &) {
        const Json Body = Json::parse(Request.body, nullptr, false);
        const std::uint64_t TimeToLive =
            Body.is_object() ? numberField(Body, "ttl_ms") : 0;
        if (TimeToLive == 0)
          return respond(Response, BadRequest, {{"error", "no ttl_ms"}});
        respond(
            Response, Ok,
            {{"lease", State.grant(Milliseconds(TimeToLive), Clock::now())}});
      }));
  Server.Post(
      "/v1/leases/keepalive",
      wrap("lease_keepalive", true,
           [this](auto &Request, auto &Response, auto &) {
             const Json Body = Json::parse(Request.body, nullptr, false);
             const bool Alive =
                 Body.is_object() &&
                 State.keepAlive(numberField(Body, "lease"), Clock::now());
             respond(Response, Alive ? Ok : LeaseGone, Json::object());
           }));
  Server.Delete(
      "/v1/leases",
      wrap("lease_revoke", true, [this](auto &Request, auto &Response, auto &) {
        const bool Ended = State.revoke(numberParameter(Request, "lease"));
        respond(Response, Ended ? Ok : LeaseGone, Json::object());
      }));
}

void StoreServer::Implementation::addControlRoutes() {
  Server.Post("/fault", [this](const httplib::Request &Request,
                               httplib::Response &Response) {
    const Json Body = Json::parse(Request.body, nullptr, false);
    const auto Mode =
        Body.is_object() ? faultModeOf(textField(Body, "mode")) : std::nullopt;
    if (!Mode) {
      return respond(Response, BadRequest,
                     {{"error", "mode is none, down, slow or lose_answers"}});
    }
    setFault({*Mode,
              Milliseconds(std::min<std::uint64_t>(
                  numberField(Body, "delay_ms"), MaxWait.count())),
              numberField(Body, "count")});
    respond(Response, Ok, Json::object());
  });
  Server.Get("/counters",
             [this](const httplib::Request &, httplib::Response &Response) {
               const std::lock_guard Lock(Mutex);
               respond(Response, Ok,
                       {{"calls", Counts.Calls},
                        {"waiting_watches", Counts.WaitingWatches},
                        {"revision", State.revision()}});
             });
}

void StoreServer::Implementation::addRoutes() {
  addKeyRoutes();
  addLeaseRoutes();
  addControlRoutes();
  Server.set_tcp_nodelay(true);
  Server.set_payload_max_length(MaxBody);
  Server.set_keep_alive_max_count(KeepAliveRequests);
  Server.new_task_queue = [Threads = Options.Threads] {
    return new httplib::ThreadPool(Threads);
  };
}

void StoreServer::Implementation::setFault(const Fault &NewFault) {
  const std::lock_guard Lock(Mutex);
  Current = NewFault;
  Changed.notify_all();
}

StoreServer::StoreServer(StoreServerOptions Options)
    : Self(std::make_unique<Implementation>(std::move(Options))) {}

StoreServer::~StoreServer() { stop(); }

bool StoreServer::start() {
  Self->addRoutes();
  const std::string &Address = Self->Options.Address;
  if (Self->Options.Port == 0) {
    const int Port = Self->Server.bind_to_any_port(Address);
    if (Port <= 0)
      return false;
    Self->Port = static_cast<std::uint16_t>(Port);
  } else {
    if (!Self->Server.bind_to_port(Address, Self->Options.Port))
      return false;
    Self->Port = Self->Options.Port;
  }
  Self->Thread = std::thread([this] { Self->Server.listen_after_bind(); });
  // stop() has no effect on a server that does not listen yet.
  while (!Self->Server.is_running())
    std::this_thread::yield();
  return true;
}

void StoreServer::stop() {
  {
    const std::lock_guard Lock(Self->Mutex);
    Self->Stopping = true;
    Self->Changed.notify_all();
  }
  Self->Server.stop();
  if (Self->Thread.joinable())
    Self->Thread.join();
}

void StoreServer::setFault(const Fault &NewFault) { Self->setFault(NewFault); }

std::uint16_t StoreServer::port() const { return Self->Port; }

Counters StoreServer::counters() const {
  const std::lock_guard Lock(Self->Mutex);
  return Self->Counts;
}

} // namespace magnolia::standin
