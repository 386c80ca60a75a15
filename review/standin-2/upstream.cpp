#include "upstream.h"

#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace review {

namespace {

constexpr auto LongestIdle = std::chrono::seconds(10);
constexpr auto AckTime = Milliseconds(1000);
constexpr auto Step = Milliseconds(5);
constexpr std::uint32_t UsualWork = 100;

std::uint64_t wallMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::string fieldOf(const Request &Call, const char *Name) {
  const auto Found = Call.Fields.find(Name);
  return Found == Call.Fields.end() ? std::string() : Found->second;
}

} // namespace

Upstream::Upstream(UpstreamOptions Options, Record &Lines)
    : Given(std::move(Options)), Lines(Lines), Born(wallMilliseconds()) {}

Upstream::~Upstream() {
  Stopping = true;
  if (Listener >= 0) {
    ::shutdown(Listener, SHUT_RDWR);
    Acceptor.join();
    ::close(Listener);
    Heartbeats.join();
  }
  {
    const std::lock_guard Lock(Mutex);
    for (const int Open : Sockets) {
      ::shutdown(Open, SHUT_RDWR);
    }
  }
  for (std::thread &Next : Sessions) {
    Next.join();
  }
}

bool Upstream::start() {
  Listener = listenOn(Given.Address, Given.Port);
  if (Listener < 0) {
    return false;
  }
  Acceptor = std::thread([this] { acceptLoop(); });
  Heartbeats = std::thread([this] { heartbeatLoop(); });
  return true;
}

std::vector<Run> Upstream::runs() const {
  const std::lock_guard Lock(Mutex);
  return Runs;
}

void Upstream::acceptLoop() {
  for (;;) {
    const int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0 || Stopping) {
      return;
    }
    const std::lock_guard Lock(Mutex);
    Sockets.push_back(Socket);
    Sessions.emplace_back([this, Socket] { serve(Socket); });
  }
}

void Upstream::serve(int Socket) {
  Connection Open(Socket);
  while (const auto Call = Open.readRequest(Clock::now() + LongestIdle)) {
    const Response Sent = answer(*Call, Socket);
    if (Sent.Status == 0 || !Open.send(bytesOf(Sent))) {
      break;
    }
  }
  const std::lock_guard Lock(Mutex);
  std::erase(Sockets, Socket);
}

// Returns a response with status 0 if the connection was closed meanwhile.
Response Upstream::answer(const Request &Call, int Socket) {
  Response Sent;
  const std::string Load = std::to_string(Running) + ",0," +
                           std::to_string(Given.Slots) + "," +
                           std::to_string(UsualWork);
  if (Call.Target == "/health") {
    Sent.Status = 200;
    Sent.Fields = {{"Instance-Id", Given.Instance}, {"Server-Load", Load}};
    return Sent;
  }
  const std::string Id = fieldOf(Call, "request-id");
  const std::string Expected = fieldOf(Call, "expected-instance");
  if (!Expected.empty() && Expected != Given.Instance) {
    Sent.Status = 421;
    Sent.Fields = {{"Instance-Id", Given.Instance}, {"Request-Id", Id}};
    return Sent;
  }
  Run Begun{.At = Clock::now(),
            .RequestId = Id,
            .Service = Given.Service,
            .Version = Given.Version,
            .Instance = Given.Instance,
            .Target = Call.Target};
  {
    const std::lock_guard Lock(Mutex);
    Begun.Status = Given.StatusOf ? Given.StatusOf(Call.Target) : 200;
    Runs.push_back(Begun);
  }
  Lines.add("run       " + Id + " " + Call.Target + " at " + Given.Service +
            " " + Given.Version + " " + Given.Instance);
  ++Running;
  const TimePoint End = Clock::now() + Given.Work;
  while (Clock::now() < End && !isClosedByPeer(Socket)) {
    std::this_thread::sleep_for(Step);
  }
  --Running;
  if (isClosedByPeer(Socket)) {
    return {};
  }
  Sent.Status = Begun.Status;
  Sent.Fields = {{"Request-Id", Id},
                 {"Response-Signature", Given.Instance + "." + Id},
                 {"Server-Load", Load}};
  Sent.Body = Given.Service + " " + Given.Version + " " + Given.Instance;
  Sent.Body.resize(std::max(Sent.Body.size(), Given.BodyBytes), '.');
  return Sent;
}

bool Upstream::sendHeartbeat() {
  const nlohmann::json Body = {
      {"service", Given.Service},
      {"address", Given.Address + ":" + std::to_string(Given.Port)},
      {"zone", Given.Zone},
      {"version", Given.Version},
      {"slots", Given.Slots},
      {"state", "ready"},
      {"cold_left_s", 0},
      {"sequence", ++Sequence},
      {"born", Born}};
  const Response Ack = exchange(
      Given.Address, Given.ControlPort,
      {.Method = "POST",
       .Target = "/magnoliatray/instances/" + Given.Instance + "/heartbeat",
       .Fields = {{"Host", "node"}, {"Content-Type", "application/json"}},
       .Body = Body.dump()},
      AckTime);
  return Ack.Status / 100 == 2;
}

void Upstream::heartbeatLoop() {
  TimePoint Next = Clock::now();
  while (!Stopping) {
    if (Clock::now() >= Next) {
      // Until the first acknowledgement it tries again soon.
      const bool Acknowledged = sendHeartbeat();
      Next = Clock::now() + (Acknowledged ? Given.Heartbeat : AckTime / 4);
    }
    std::this_thread::sleep_for(Step);
  }
}

} // namespace review
