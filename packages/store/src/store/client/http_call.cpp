#include "store/client/http_call.h"

#include "policy/core/epoch.h"
#include "store/client/internal/store_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace magnolia::store {
namespace {

using Clock = std::chrono::steady_clock;

using internal::ConnectionFailure;
using internal::ConnectionResponse;

struct Response {
  int Status = 0;
  std::string Body;
  std::uint64_t Epoch = 0;
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

// Percent-encodes everything but the unreserved characters of RFC 3986.
std::string encoded(std::string_view Text) {
  constexpr std::string_view Unreserved = "-._~";
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Result;
  for (const char Next : Text) {
    const auto Byte = static_cast<unsigned char>(Next);
    const bool Alphanumeric = (Next >= 'a' && Next <= 'z') ||
                              (Next >= 'A' && Next <= 'Z') ||
                              (Next >= '0' && Next <= '9');
    if (Alphanumeric || Unreserved.find(Next) != std::string_view::npos) {
      Result += Next;
    } else {
      Result += {'%', Digits[Byte >> 4U], Digits[Byte & 0xFU]};
    }
  }
  return Result;
}

std::string targetOf(const HttpCall &Call) {
  std::string Target = Call.Path;
  char Separator = '?';
  for (const auto &[Name, Value] : Call.Query) {
    Target += Separator + encoded(Name) + '=' + encoded(Value);
    Separator = '&';
  }
  return Target;
}

// Error kind of a call without a complete response.
StoreErrorKind kindOfLostResponse(const HttpCall &Call,
                                  ConnectionFailure Failure) {
  // Only a failed connect proves that the store did not receive the call.
  if (Failure == ConnectionFailure::NotConnected)
    return StoreErrorKind::Unavailable;
  if (Call.HasEffect)
    return StoreErrorKind::OutcomeUnknown;
  if (Failure == ConnectionFailure::BodyTooLarge)
    return StoreErrorKind::TooLarge;
  return Failure == ConnectionFailure::TimedOut ? StoreErrorKind::Timeout
                                                : StoreErrorKind::Unavailable;
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
  const auto Connection = State.Pool.acquire();
  if (!Connection) {
    return fail(State, Call, StoreErrorKind::Unavailable,
                "the client is closed", LastError);
  }
  ConnectionResponse Received = Connection->exchange(
      {.Method = Call.Method, .Target = targetOf(Call), .Body = Call.Body},
      {.Deadline = Clock::now() + Timeout,
       .BodyBytes = State.Options.MaxResponseSize,
       .HeaderName = State.EpochHeader});
  State.Pool.release(Connection, Received.KeepAlive);
  if (Received.Failure != ConnectionFailure::None) {
    return fail(State, Call, kindOfLostResponse(Call, Received.Failure),
                Received.Failure == ConnectionFailure::TimedOut
                    ? "no response within " + std::to_string(Timeout.count()) +
                          " ms"
                    : Received.Reason,
                LastError);
  }
  Response Result{.Status = static_cast<int>(Received.Status),
                  .Body = std::move(Received.Body)};
  const std::string &Epoch = Received.Header;
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
