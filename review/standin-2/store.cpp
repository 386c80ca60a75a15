#include "store.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr std::string_view Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr unsigned BitsPerDigit = 6;
constexpr unsigned BitsPerByte = 8;

constexpr auto LongestIdle = std::chrono::minutes(5);
constexpr auto WatchCheck = Milliseconds(20);

Response reply(int Status, const Json &Body) {
  return {.Status = Status,
          .Fields = {{"content-type", "application/json"}},
          .Body = Body.dump(),
          .Failure = {}};
}

Json toJson(const Store::Item &Given) {
  if (Given.Deleted) {
    return {
        {"key", Given.Key}, {"revision", Given.Revision}, {"deleted", true}};
  }
  return {{"key", Given.Key},
          {"value", Given.Value},
          {"revision", Given.Revision},
          {"created", Given.Created},
          {"lease", 0}};
}

std::string peerOf(int Socket) {
  sockaddr_in Remote{};
  socklen_t Size = sizeof Remote;
  std::array<char, INET_ADDRSTRLEN> Text{};
  ::getpeername(Socket, reinterpret_cast<sockaddr *>(&Remote), &Size);
  inet_ntop(AF_INET, &Remote.sin_addr, Text.data(), Text.size());
  return Text.data();
}

std::uint64_t numberOf(const std::string &Text) {
  return std::strtoull(Text.c_str(), nullptr, 10);
}

} // namespace

std::string toBase64(std::string_view Bytes) {
  std::string Text;
  std::uint32_t Held = 0;
  unsigned Bits = 0;
  for (const char Next : Bytes) {
    Held = Held << BitsPerByte | static_cast<unsigned char>(Next);
    Bits += BitsPerByte;
    while (Bits >= BitsPerDigit) {
      Bits -= BitsPerDigit;
      Text += Digits[Held >> Bits & 63U];
    }
  }
  if (Bits > 0) {
    Text += Digits[Held << (BitsPerDigit - Bits) & 63U];
  }
  while (Text.size() % 4 != 0) {
    Text += '=';
  }
  return Text;
}

std::string fromBase64(std::string_view Text) {
  std::string Bytes;
  std::uint32_t Held = 0;
  unsigned Bits = 0;
  for (const char Next : Text) {
    const std::size_t Digit = Digits.find(Next);
    if (Digit == std::string_view::npos) {
      break;
    }
    Held = Held << BitsPerDigit | static_cast<std::uint32_t>(Digit);
    Bits += BitsPerDigit;
    if (Bits >= BitsPerByte) {
      Bits -= BitsPerByte;
      Bytes += static_cast<char>(Held >> Bits & 255U);
    }
  }
  return Bytes;
}

Store::~Store() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
    for (const int Open : Sockets) {
      ::shutdown(Open, SHUT_RDWR);
    }
  }
  Changed.notify_all();
  if (Listener >= 0) {
    ::shutdown(Listener, SHUT_RDWR);
    Acceptor.join();
    ::close(Listener);
  }
  for (std::thread &Next : Sessions) {
    Next.join();
  }
}

bool Store::start(const std::string &Address, std::uint16_t Port) {
  Listener = listenOn(Address, Port);
  if (Listener < 0) {
    return false;
  }
  Acceptor = std::thread([this] { acceptLoop(); });
  return true;
}

std::uint64_t Store::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard Lock(Mutex);
  ++Revision;
  write(Key, toBase64(Value), false);
  return Revision;
}

std::string Store::value(const std::string &Key) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Items.find(Key);
  return Found == Items.end() ? std::string() : fromBase64(Found->second.Value);
}

// The caller holds the mutex and has raised the revision.
void Store::write(const std::string &Key, const std::string &Value,
                  bool Deleted) {
  const auto Before = Items.find(Key);
  const std::uint64_t Created =
      Before == Items.end() ? Revision : Before->second.Created;
  const Item Written{.Key = Key,
                     .Value = Value,
                     .Revision = Revision,
                     .Created = Created,
                     .Deleted = Deleted};
  History.push_back(Written);
  if (Deleted) {
    Items.erase(Key);
  } else {
    Items[Key] = Written;
  }
  Changed.notify_all();
}

void Store::acceptLoop() {
  for (;;) {
    const int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    const std::lock_guard Lock(Mutex);
    if (Socket < 0 || Stopping) {
      return;
    }
    Sockets.push_back(Socket);
    Sessions.emplace_back([this, Socket] { serve(Socket); });
  }
}

void Store::serve(int Socket) {
  Connection Open(Socket);
  const std::string Caller = peerOf(Socket);
  while (const auto Call = Open.readRequest(Clock::now() + LongestIdle)) {
    const Response Sent = answer(*Call, Socket);
    if (Sent.Status == 0) {
      break;
    }
    if (Given.Loses && Given.Loses(Caller)) {
      // The connection stays open and returns nothing further.
      while (!isClosedByPeer(Socket)) {
        std::this_thread::sleep_for(WatchCheck);
      }
      break;
    }
    if (!Open.send(bytesOf(Sent))) {
      break;
    }
  }
  const std::lock_guard Lock(Mutex);
  std::erase(Sockets, Socket);
}

Response Store::answer(const Request &Call, int Socket) {
  const std::string Path = Call.Target.substr(0, Call.Target.find('?'));
  if (Path == "/magnoliatray/kv-key") {
    return readKey(Call);
  }
  if (Path == "/magnoliatray/kv-range") {
    return readRange(Call);
  }
  if (Path == "/magnoliatray/kv-watch") {
    return watch(Call, Socket);
  }
  if (Path == "/magnoliatray/kv-txn") {
    return transact(Call);
  }
  return reply(404, Json::object());
}

Response Store::readKey(const Request &Call) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Items.find(parameterOf(Call.Target, "key"));
  if (Found == Items.end()) {
    return reply(404, {{"store_revision", Revision}});
  }
  Json Body = toJson(Found->second);
  Body["store_revision"] = Revision;
  return reply(200, Body);
}

Response Store::readRange(const Request &Call) {
  const std::string Prefix = parameterOf(Call.Target, "path_prefix");
  const std::string After = parameterOf(Call.Target, "after");
  const std::lock_guard Lock(Mutex);
  Json Found = Json::array();
  for (const auto &[Key, Held] : Items) {
    if (Key.starts_with(Prefix) && Key > After) {
      Found.push_back(toJson(Held));
    }
  }
  return reply(
      200,
      {{"items", Found}, {"has_more", false}, {"store_revision", Revision}});
}

// Returns a response with status 0 if the caller has gone or the store stops.
Response Store::watch(const Request &Call, int Socket) {
  const std::string Prefix = parameterOf(Call.Target, "path_prefix");
  const std::uint64_t After = numberOf(parameterOf(Call.Target, "after"));
  const TimePoint Until =
      Clock::now() +
      Milliseconds(numberOf(parameterOf(Call.Target, "wait_ms")));
  std::unique_lock Lock(Mutex);
  for (;;) {
    Json Events = Json::array();
    for (const Item &Next : History) {
      if (Next.Revision > After && Next.Key.starts_with(Prefix)) {
        Events.push_back(toJson(Next));
      }
    }
    if (!Events.empty() || Clock::now() >= Until) {
      return reply(200, {{"events", Events}, {"store_revision", Revision}});
    }
    Changed.wait_until(Lock, std::min(Until, Clock::now() + WatchCheck));
    if (Stopping || isClosedByPeer(Socket)) {
      return {};
    }
  }
}

Response Store::transact(const Request &Call) {
  const Json Body = Json::parse(Call.Body, nullptr, false);
  if (!Body.is_object()) {
    return reply(400, Json::object());
  }
  const std::lock_guard Lock(Mutex);
  bool Holds = true;
  Json Current = Json::array();
  for (const Json &Row : Body.value("expected", Json::array())) {
    const std::string Key = Row.value("key", "");
    const auto Found = Items.find(Key);
    const std::uint64_t Held =
        Found == Items.end() ? 0 : Found->second.Revision;
    Holds = Holds && Held == Row.value("revision", std::uint64_t{0});
    Current.push_back(Found == Items.end() ? Json{{"key", Key}, {"revision", 0}}
                                           : toJson(Found->second));
  }
  if (!Holds) {
    return reply(412, {{"items", Current}});
  }
  // All changes of one call have one revision.
  ++Revision;
  for (const Json &Row : Body.value("writes", Json::array())) {
    const std::string Key = Row.value("key", "");
    if (Key.starts_with("op/") || Key.starts_with("servers/")) {
      return reply(403, Json::object());
    }
    write(Key, Row.value("value", ""), false);
  }
  for (const Json &Key : Body.value("deletes", Json::array())) {
    write(Key.get<std::string>(), {}, true);
  }
  return reply(200, {{"revision", Revision}});
}

} // namespace review
