#include "caller_client.h"

#include "backend/answer_body.h"

#include <utility>

namespace magnolia::bench {

namespace {

// Longer than any timeout that a service file may set.
constexpr int ResponseTimeoutS = 8;

std::unique_ptr<httplib::Client> connectTo(const Endpoint &Target) {
  auto Client = std::make_unique<httplib::Client>(Target.Address, Target.Port);
  Client->set_keep_alive(true);
  Client->set_tcp_nodelay(true);
  Client->set_connection_timeout(1);
  Client->set_read_timeout(ResponseTimeoutS);
  return Client;
}

double milliseconds(Clock::duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

httplib::Result send(httplib::Client &Client, const Call &Planned) {
  const httplib::Headers Headers = {{"Magnolia-Service", Planned.Service},
                                    {"X-Caller-Token", Planned.Token}};
  const auto Target = Planned.Path + "?bytes=" + std::to_string(Planned.Bytes);
  if (Planned.Idempotent) {
    return Client.Get(Target, Headers);
  }
  return Client.Post(Target, Headers, "{\"hold\":1}", "application/json");
}

void read(const httplib::Response &Answer, CallResult &Result) {
  Result.Status = Answer.status;
  Result.Run = Answer.get_header_value("Magnolia-Run");
  Result.Error = Answer.get_header_value("Magnolia-Error");
  // The stand-in marks a refusal with a header of its own and sends no body.
  if (!Result.Error.empty() || Answer.has_header("Backend-Shed") ||
      Answer.has_header("Backend-Draining")) {
    Result.End = CallEnd::Rejected;
    return;
  }
  Result.End = CallEnd::Answered;
  const auto &Planned = Result.Planned;
  Result.Matched = Answer.get_header_value("X-Caller-Token") == Planned.Token &&
                   standin::matchBody(Answer.body, Planned.Path, Planned.Token,
                                      Planned.Bytes, Result.Version);
}

} // namespace

CallerClient::CallerClient(const CallTargets &Targets, std::size_t FirstEntry)
    : Entry(FirstEntry % Targets.Entries.size()) {
  for (const auto &Target : Targets.Entries) {
    Entries.push_back(connectTo(Target));
  }
  for (const auto &Target : Targets.RoundRobin) {
    RoundRobin.push_back(connectTo(Target));
  }
  Direct = connectTo(Targets.Direct);
  Relays = connectTo(Targets.Relays);
}

httplib::Client &CallerClient::clientFor(const Call &Planned) {
  switch (Planned.Via) {
  case RequestPath::Direct:
    return *Direct;
  case RequestPath::Relays:
    return *Relays;
  case RequestPath::RoundRobin:
    return *RoundRobin[Turn++ % RoundRobin.size()];
  case RequestPath::System:
    break;
  }
  return *Entries[Entry];
}

CallResult CallerClient::make(Call Planned, Clock::time_point Due) {
  CallResult Result;
  Result.Planned = std::move(Planned);
  Result.Due = Due;
  const bool Own = Result.Planned.Via == RequestPath::System;
  // If the connection is refused, nothing was sent, so even a non-idempotent
  // call may be retried on the next entry node.
  const std::size_t Tries = Own ? Entries.size() : 1;
  for (std::size_t Try = 0; Try < Tries; ++Try) {
    const auto Sent = Clock::now();
    const auto Answer = send(clientFor(Result.Planned), Result.Planned);
    const auto Ended = Clock::now();
    Result.Entry = Entry;
    Result.LatencyMs = milliseconds(Ended - Due);
    Result.EndWallMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
    if (Answer) {
      read(*Answer, Result);
      const auto InBackend = Answer->get_header_value("Backend-Time-Us");
      Result.OverheadMs = milliseconds(Ended - Sent) -
                          std::strtod(InBackend.c_str(), nullptr) / 1000.0;
      return Result;
    }
    if (Answer.error() != httplib::Error::Connection) {
      Result.End = CallEnd::Broken;
      return Result;
    }
    Entry = (Entry + 1) % Entries.size();
  }
  Result.End = CallEnd::NotSent;
  return Result;
}

} // namespace magnolia::bench
