#include "backend/backend_server.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <nlohmann/json.hpp>
#include <string_view>
#include <sys/socket.h>
#include <utility>

#include "backend/answer_body.h"

namespace magnolia::standin {

namespace {

using std::chrono::milliseconds;

// Connections for reports, fault injection and the record, in addition to those
// for requests.
constexpr int SpareConnections = 16;
constexpr int ListenBacklog = 1024;
constexpr auto WithholdLimit = std::chrono::seconds(30);
constexpr auto WithholdCheck = milliseconds(100);
// Maximum service time as a multiple of the mean.
constexpr double MostServiceTimes = 8.0;

TimePoint now() { return std::chrono::steady_clock::now().time_since_epoch(); }

std::int64_t wallUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::uint64_t numberOf(const std::string &Text, std::uint64_t Otherwise) {
  std::uint64_t Value = 0;
  const auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Code == std::errc{} && End == Text.data() + Text.size() ? Value
                                                                 : Otherwise;
}

void refuse(httplib::Response &Response, const char *Header) {
  Response.status = 503;
  Response.set_header(Header, "1");
}

} // namespace

BackendServer::BackendServer(BackendOptions Given)
    : Options(std::move(Given)),
      Incarnation(wallUs()), Slots{.Slots = static_cast<std::uint32_t>(
                                       Options.Slots),
                                   .ColdStart =
                                       milliseconds(Options.ColdStartMs)},
      Engine(Options.Seed + static_cast<std::uint64_t>(Options.Port)) {
  const int Threads = Options.Connections + SpareConnections;
  Server.new_task_queue = [Threads] {
    return new httplib::ThreadPool(Threads);
  };
  Server.set_tcp_nodelay(true);
  // Connections stay open. These values only set the Keep-Alive header.
  Server.set_keep_alive_max_count(1'000'000'000);
  Server.set_keep_alive_timeout(3600);
  // The library's default socket options would let two servers share a port.
  Server.set_socket_options([this](socket_t Socket) {
    const int On = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    ListeningSocket = Socket;
  });
  Server.set_post_routing_handler(
      [this](const httplib::Request &, httplib::Response &Response) {
        Response.set_header("Magnolia-Backend-Incarnation",
                            std::to_string(Incarnation.load()));
      });
  addRoutes();
}

void BackendServer::addRoutes() {
  const auto Any = [this](const auto &Request, auto &Response) {
    answer(Request, Response);
  };
  const auto Report = [this](const auto &, auto &Response) {
    report(Response);
  };
  Server.Get("/health", Report);
  Server.Get("/load", Report);
  Server.Get("/record", [this](const auto &Request, auto &Response) {
    writeRecord(Request, Response);
  });
  Server.Post("/fault", [this](const auto &Request, auto &Response) {
    setFault(Request, Response);
  });
  Server.Get(".*", Any);
  Server.Post(".*", Any);
  Server.Put(".*", Any);
  Server.Delete(".*", Any);
}

bool BackendServer::bind() {
  if (!Server.bind_to_port(Options.Address, Options.Port)) {
    return false;
  }
  // The library listens with a backlog of 5. In larger bursts, connections
  // would wait one second for a retransmitted SYN.
  return listen(ListeningSocket, ListenBacklog) == 0;
}

void BackendServer::serve() {
  for (;;) {
    Server.listen_after_bind();
    if (!Down) {
      return;
    }
    reopenPort();
  }
}

// The library's threads end only when their connections do, so connections
// accepted while the port closes are shut down until it is closed.
void BackendServer::closePort(int KeptSocket) {
  Down = true;
  shutdown(ListeningSocket, SHUT_RD);
  breakConnections(Options.Port, KeptSocket);
  Disconnector = std::thread([this, KeptSocket] {
    while (Down) {
      breakConnections(Options.Port, KeptSocket);
      std::this_thread::sleep_for(milliseconds(10));
    }
  });
}

void BackendServer::reopenPort() {
  Down = false;
  Disconnector.join();
  std::uint32_t DownMs = 0;
  {
    const std::lock_guard Lock(Mutex);
    Incarnation = wallUs();
    restart(Slots, now());
    DownMs = Plan.DownMs;
    Plan = {};
  }
  std::this_thread::sleep_for(milliseconds(DownMs));
  while (!bind()) {
    std::this_thread::sleep_for(milliseconds(10));
  }
}

void BackendServer::drain(milliseconds Limit) {
  std::unique_lock Lock(Mutex);
  Draining = true;
  Idle.wait_for(Lock, Limit, [this] { return Slots.InFlight == 0; });
}

void BackendServer::answer(const httplib::Request &Request,
                           httplib::Response &Response) {
  const auto Arrived = now();
  Run Started{.Path = Request.path,
              .Token = Request.get_header_value("X-Caller-Token"),
              .Socket = PromptServer::currentSocket(),
              .Unresponsive =
                  PromptServer::currentConnection() <= LastUnresponsive,
              .ServiceTime = {},
              .Effect = {}};
  // Half of the requests on a connection that does not respond run anyway, so
  // that a client cannot assume that the request ran or that it did not.
  const bool RunsFirst = std::hash<std::string>{}(Started.Token) % 2 == 0;
  if (Started.Unresponsive && !RunsFirst) {
    withholdResponse(Started);
    return;
  }
  if (!start(Request, Started, Response)) {
    return;
  }
  finish(Request, Started, Response);
  Response.set_header(
      "Backend-Time-Us",
      std::to_string(
          std::chrono::duration_cast<std::chrono::microseconds>(now() - Arrived)
              .count()));
  if (Started.Unresponsive) {
    withholdResponse(Started);
  }
}

bool BackendServer::start(const httplib::Request &Request, Run &Started,
                          httplib::Response &Response) {
  const std::lock_guard Lock(Mutex);
  Record.arrived(wallUs() / 1000);
  ++RequestsSinceFault;
  if (Draining) {
    refuse(Response, "Backend-Draining");
    return false;
  }
  if (!enter(Slots, now())) {
    refuse(Response, "Backend-Shed");
    return false;
  }
  Record.started(Request.get_header_value("Magnolia-Request-Id"),
                 Started.Token);
  Started.Effect = effect(Plan, {.Path = Started.Path,
                                 .Requests = RequestsSinceFault,
                                 .InFlight = Slots.InFlight,
                                 .Slots = Slots.Slots});
  Started.ServiceTime = drawServiceTime();
  return true;
}

void BackendServer::finish(const httplib::Request &Request, const Run &Started,
                           httplib::Response &Response) {
  std::chrono::nanoseconds Time(static_cast<std::int64_t>(
      static_cast<double>(Started.ServiceTime.count()) *
      Started.Effect.Factor));
  if (Started.Effect.AtOnce) {
    Time = {};
  }
  const auto Deadline = std::chrono::duration_cast<std::chrono::nanoseconds>(
      milliseconds(numberOf(Request.get_header_value("Magnolia-Deadline-Ms"),
                            3'600'000)));
  const bool InTime = Time <= Deadline;
  const auto End = waitOrClosed(Started.Socket, std::min(Time, Deadline));
  {
    const std::lock_guard Lock(Mutex);
    leave(Slots, now());
    if (FirstFaultMs == 0 &&
        (Started.Effect.Fails || Started.Effect.Factor > 1.0)) {
      FirstFaultMs = wallUs() / 1000;
    }
    Cancelled += End == WaitEnd::Closed ? 1 : 0;
    if (Slots.InFlight == 0) {
      Idle.notify_all();
    }
  }
  Response.status = Started.Effect.Fails ? 500 : InTime ? 200 : 504;
  Response.set_header("X-Caller-Token", Started.Token);
  const auto Bytes = numberOf(Request.get_param_value("bytes"), 0);
  Response.set_content(composeBody({.Service = Options.Service,
                                    .Version = Options.Version,
                                    .Path = Started.Path,
                                    .Token = Started.Token},
                                   Bytes),
                       "text/plain");
}

void BackendServer::withholdResponse(const Run &Unresponsive) {
  const auto Until = now() + WithholdLimit;
  while (now() < Until &&
         waitOrClosed(Unresponsive.Socket, WithholdCheck) == WaitEnd::Elapsed) {
  }
  breakConnection(Unresponsive.Socket);
}

std::chrono::nanoseconds BackendServer::drawServiceTime() {
  std::exponential_distribution<double> Tail(1.0);
  const double Times = std::min(0.25 + 0.75 * Tail(Engine), MostServiceTimes);
  return std::chrono::nanoseconds(
      static_cast<std::int64_t>(Options.ServiceTimeUs * 1000.0 * Times));
}

void BackendServer::setFault(const httplib::Request &Request,
                             httplib::Response &Response) {
  const auto Parsed = parseFaultPlan(Request.body);
  if (!Parsed) {
    Response.status = 400;
    return;
  }
  const std::lock_guard Lock(Mutex);
  if (Down) {
    Response.status = 409;
    return;
  }
  Plan = *Parsed;
  RequestsSinceFault = 0;
  if (Plan.Mode == FaultMode::Silent) {
    LastUnresponsive = PromptServer::connectionsAccepted();
  }
  if (Plan.Mode == FaultMode::Restart) {
    closePort(PromptServer::currentSocket());
  }
}

void BackendServer::report(httplib::Response &Response) {
  const std::lock_guard Lock(Mutex);
  if (LaggedReport.empty() ||
      now() - ReportedAt >= milliseconds(Options.ReportLagMs)) {
    const bool FalseReports = Plan.FalseReports;
    LaggedReport = nlohmann::json{
        {"status", Draining && !FalseReports ? "draining" : "ok"},
        {"in_flight", FalseReports ? 0 : Slots.InFlight},
        {"capacity", FalseReports ? Slots.Slots : capacity(Slots, now())},
        {"slots",
         Slots.Slots}}.dump();
    ReportedAt = now();
  }
  Response.set_content(LaggedReport, "application/json");
}

void BackendServer::writeRecord(const httplib::Request &Request,
                                httplib::Response &Response) {
  const std::lock_guard Lock(Mutex);
  nlohmann::json Json{{"service", Options.Service},
                      {"version", Options.Version},
                      {"max_in_flight", Slots.MostInFlight},
                      {"in_flight", Slots.InFlight},
                      {"overloads", Slots.Overloads},
                      {"requests", Record.requests()},
                      {"cancelled", Cancelled},
                      {"unrecorded", Record.unrecorded()},
                      {"repeated_ids", Record.repeatedIds()},
                      {"first_fault_ms", FirstFaultMs},
                      {"last_request_ms", Record.lastRequestMs()}};
  if (!Request.has_param("brief")) {
    Json["runs"] = Record.runs();
  }
  Response.set_content(Json.dump(), "application/json");
}

} // namespace magnolia::standin
