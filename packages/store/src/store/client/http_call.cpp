#include "store/client/http_call.h"

#include "policy/core/epoch.h"

#include <httplib.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace magnolia::store {
namespace {

using Clock = std::chrono::steady_clock;

struct Response {
  int Status = 0;
  std::string Body;
  std::uint64_t Epoch = 0;
  bool TooLarge = false;
  bool Late = false;
};

std::string describe(const HttpStoreState &State, const HttpCall &Call) {
  return "store " + State.Options.Address + ":" +
         std::to_string(State.Options.Port) + ": " + Call.Method + " " +
         Call.Path + ": ";
}

std::nullopt_t fail(HttpStoreState &State, const HttpCall &Call,
                    StoreErrorKind Kind, const std::string &Detail,
                    StoreError &LastError) {
  LastError = {Kind, describe(State, Call) + Detail};
  ++State.Counts->Failures[static_cast<std::size_t>(Call.Kind)];
  return std::nullopt;
}

httplib::Request requestOf(const HttpStoreState &State, const HttpCall &Call,
                           Clock::time_point Deadline, Response &Result) {
  httplib::Request Request;
  Request.method = Call.Method;
  Request.path = Call.Query.empty()
                     ? Call.Path
                     : httplib::append_query_params(Call.Path, Call.Query);
  if (!Call.Body.empty()) {
    Request.set_header("Content-Type", "application/json");
    Request.body = Call.Body;
  }
  Request.response_handler = [&Result](const httplib::Response &Head) {
    Result.Status = Head.status;
    return true;
  };
  const std::size_t MaxSize = State.Options.MaxResponseSize;
  Request.content_receiver = [&Result, MaxSize,
                              Deadline](const char *Data, std::size_t Size,
                                        std::uint64_t, std::uint64_t) {
    Result.TooLarge = Result.Body.size() + Size > MaxSize;
    Result.Late = Clock::now() > Deadline;
    if (!Result.TooLarge && !Result.Late)
      Result.Body.append(Data, Size);
    return !Result.TooLarge && !Result.Late;
  };
  return Request;
}

void setTimeouts(httplib::Client &Connection,
                 std::chrono::milliseconds Timeout) {
  Connection.set_connection_timeout(Timeout);
  Connection.set_read_timeout(Timeout);
  Connection.set_write_timeout(Timeout);
}

// Error kind of a call without a complete response.
StoreErrorKind kindOfLostResponse(const HttpCall &Call, httplib::Error Error,
                                  const Response &Result, bool Expired) {
  // Only a failed connect proves that the store did not receive the call.
  if (Error == httplib::Error::Connection ||
      Error == httplib::Error::ConnectionTimeout)
    return StoreErrorKind::Unavailable;
  if (Call.HasEffect)
    return StoreErrorKind::OutcomeUnknown;
  if (Result.TooLarge)
    return StoreErrorKind::TooLarge;
  return Expired ? StoreErrorKind::Timeout : StoreErrorKind::Unavailable;
}

StoreErrorKind kindOfStatus(const HttpCall &Call, int Status) {
  constexpr int FirstServerError = 500;
  const bool OnLease = Call.Kind == CallKind::LeaseKeepalive ||
                       Call.Kind == CallKind::LeaseRevoke ||
                       Call.Kind == CallKind::Put;
  switch (Status) {
  case 404:
    return OnLease ? StoreErrorKind::LeaseExpired : StoreErrorKind::NotFound;
  case 409:
  case 412:
    return StoreErrorKind::Conflict;
  case 410:
    return StoreErrorKind::LeaseExpired;
  case 413:
    return StoreErrorKind::TooLarge;
  // The protocol defines these two as "not carried out".
  case 429:
  case 503:
    return StoreErrorKind::Unavailable;
  default:
    break;
  }
  if (Status < FirstServerError)
    return StoreErrorKind::Malformed;
  return Call.HasEffect ? StoreErrorKind::OutcomeUnknown
                        : StoreErrorKind::Unavailable;
}

// Reads the epoch of the store from a header; an absent one stands for epoch 0.
// Returns false for any other text than a number that fits a revision.
bool readEpoch(const std::string &Text, std::uint64_t &Epoch) {
  if (Text.empty())
    return true;
  const char *const End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Epoch);
  return Read.ec == std::errc() && Read.ptr == End && Epoch <= policy::MaxEpoch;
}

void raiseTo(std::atomic<std::uint64_t> &Newest, std::uint64_t Epoch) {
  std::uint64_t Before = Newest;
  while (Before < Epoch && !Newest.compare_exchange_weak(Before, Epoch)) {
  }
}

std::optional<HttpBody> bodyOrError(HttpStoreState &State, const HttpCall &Call,
                                    Response &&Result, StoreError &LastError) {
  constexpr int Ok = 200;
  if (Result.Status == Ok)
    return HttpBody{.Text = std::move(Result.Body), .Epoch = Result.Epoch};
  const StoreErrorKind Kind = kindOfStatus(Call, Result.Status);
  const std::string Detail = "status " + std::to_string(Result.Status);
  if (Kind == StoreErrorKind::Conflict) {
    const auto Current =
        Call.ReadConflict ? Call.ReadConflict({.Text = std::move(Result.Body),
                                               .Epoch = Result.Epoch})
                          : std::nullopt;
    if (!Current) {
      reportMalformed(State, Call, LastError);
      return std::nullopt;
    }
    LastError = {Kind,
                 describe(State, Call) + "the key is at revision " +
                     std::to_string(*Current),
                 *Current};
    return std::nullopt;
  }
  if (Kind == StoreErrorKind::NotFound ||
      Kind == StoreErrorKind::LeaseExpired) {
    LastError = {Kind, describe(State, Call) + std::string(toString(Kind))};
    return std::nullopt;
  }
  return fail(State, Call, Kind, Detail, LastError);
}

} // namespace

std::optional<HttpBody> callStore(HttpStoreState &State, const HttpCall &Call,
                                  std::chrono::milliseconds Timeout,
                                  StoreError &LastError) {
  ++State.Counts->Calls[static_cast<std::size_t>(Call.Kind)];
  Timeout = std::max(Timeout, std::chrono::milliseconds(1));
  const Clock::time_point Deadline = Clock::now() + Timeout;
  const auto Connection = State.Pool.acquire(Deadline);
  if (!Connection) {
    return fail(State, Call, StoreErrorKind::Unavailable,
                "the client is closed", LastError);
  }
  setTimeouts(*Connection, Timeout);
  Response Result;
  const httplib::Result Sent =
      Connection->send(requestOf(State, Call, Deadline, Result));
  State.Pool.release(Connection, static_cast<bool>(Sent));
  if (!Sent) {
    const bool Expired = Result.Late || Clock::now() >= Deadline;
    return fail(State, Call,
                kindOfLostResponse(Call, Sent.error(), Result, Expired),
                Expired ? "no response within " +
                              std::to_string(Timeout.count()) + " ms"
                        : httplib::to_string(Sent.error()),
                LastError);
  }
  Result.Status = Sent->status;
  const std::string Epoch = Sent->get_header_value(State.EpochHeader.c_str());
  if (!readEpoch(Epoch, Result.Epoch)) {
    return fail(State, Call,
                Call.HasEffect ? StoreErrorKind::OutcomeUnknown
                               : StoreErrorKind::Malformed,
                State.EpochHeader + " is '" + Epoch +
                    "' and not a number up to " +
                    std::to_string(policy::MaxEpoch),
                LastError);
  }
  raiseTo(State.NewestEpoch, Result.Epoch);
  return bodyOrError(State, Call, std::move(Result), LastError);
}

bool isValid(const PutRequest &Request, std::size_t MaxKeySize,
             StoreError &LastError) {
  if (Request.Key.empty() || Request.Key.size() > MaxKeySize) {
    LastError = {StoreErrorKind::Malformed, "a key must have 1 to " +
                                                std::to_string(MaxKeySize) +
                                                " bytes"};
    return false;
  }
  if (Request.Value.size() > MaxValueSize) {
    LastError = {StoreErrorKind::TooLarge,
                 "key " + Request.Key + ": the value has " +
                     std::to_string(Request.Value.size()) + " bytes; at most " +
                     std::to_string(MaxValueSize) + " are allowed"};
    return false;
  }
  return true;
}

void reportMalformed(HttpStoreState &State, const HttpCall &Call,
                     StoreError &LastError) {
  fail(State, Call,
       Call.HasEffect ? StoreErrorKind::OutcomeUnknown
                      : StoreErrorKind::Malformed,
       "the response does not follow the protocol", LastError);
}

} // namespace magnolia::store
