#include "policy/chain/chain_headers.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdio>

namespace magnolia::policy {

namespace {

// One day; a longer deadline is an error of the caller.
constexpr std::uint64_t MaxDeadlineMs = 86'400'000;
constexpr std::uint64_t MaxHopsValue = 1000;
constexpr std::size_t HexDigits = 16;
constexpr std::size_t RequestIdLength = 3 * HexDigits + 2;

bool equalIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](unsigned char A, unsigned char B) {
                      return std::tolower(A) == std::tolower(B);
                    });
}

std::optional<std::uint64_t> parseNumber(std::string_view Text, int Base,
                                         std::uint64_t Max) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value, Base);
  if (Text.empty() || Result.ec != std::errc{} || Result.ptr != End ||
      Value > Max) {
    return std::nullopt;
  }
  return Value;
}

bool setMalformedHeader(std::string_view Name, Error &LastError) {
  LastError = {.Kind = ErrorKind::BadRequest,
               .Detail = "malformed value of header " + std::string(Name)};
  return false;
}

bool parseKey(ChainContext &Context, std::string_view Value, Error &LastError) {
  const bool Printable = std::all_of(Value.begin(), Value.end(),
                                     [](char C) { return C > 31 && C < 127; });
  if (Value.empty() || Value.size() > MaxIdempotencyKey || !Printable) {
    return setMalformedHeader(IdempotencyKeyHeader, LastError);
  }
  Context.IdempotencyKey = Value;
  return true;
}

} // namespace

bool parseHeader(ChainContext &Context, std::string_view Name,
                 std::string_view Value, Error &LastError) {
  if (equalIgnoringCase(Name, DeadlineHeader)) {
    const auto Number = parseNumber(Value, 10, MaxDeadlineMs);
    if (!Number) {
      return setMalformedHeader(DeadlineHeader, LastError);
    }
    Context.Remaining = std::chrono::milliseconds(*Number);
  } else if (equalIgnoringCase(Name, HopsHeader)) {
    const auto Number = parseNumber(Value, 10, MaxHopsValue);
    if (!Number) {
      return setMalformedHeader(HopsHeader, LastError);
    }
    Context.Hops = static_cast<std::uint32_t>(*Number);
  } else if (equalIgnoringCase(Name, RetryHeader)) {
    if (!equalIgnoringCase(Value, RetryExhausted)) {
      return setMalformedHeader(RetryHeader, LastError);
    }
    Context.RetriesExhausted = true;
  } else if (equalIgnoringCase(Name, RequestIdHeader)) {
    Context.Id = parseRequestId(Value);
    if (!Context.Id) {
      return setMalformedHeader(RequestIdHeader, LastError);
    }
  } else if (equalIgnoringCase(Name, IdempotencyKeyHeader)) {
    return parseKey(Context, Value, LastError);
  }
  return true;
}

std::vector<ChainHeader> formatHeaders(const ChainContext &Context) {
  std::vector<ChainHeader> Headers;
  if (Context.Remaining) {
    const auto Ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max(*Context.Remaining, Duration{0}));
    Headers.push_back(
        {std::string(DeadlineHeader), std::to_string(Ms.count())});
  }
  Headers.push_back({std::string(HopsHeader), std::to_string(Context.Hops)});
  if (Context.RetriesExhausted) {
    Headers.push_back({std::string(RetryHeader), std::string(RetryExhausted)});
  }
  if (Context.Id) {
    Headers.push_back(
        {std::string(RequestIdHeader), formatRequestId(*Context.Id)});
  }
  if (!Context.IdempotencyKey.empty()) {
    Headers.push_back(
        {std::string(IdempotencyKeyHeader), Context.IdempotencyKey});
  }
  return Headers;
}

ChainContext nextHop(const ChainContext &Context, Duration Elapsed) {
  ChainContext Next = Context;
  ++Next.Hops;
  if (Next.Remaining) {
    Next.Remaining = std::max(*Next.Remaining - Elapsed, Duration{0});
  }
  return Next;
}

std::string formatRequestId(const RequestId &Id) {
  std::array<char, RequestIdLength + 1> Text{};
  const int Length =
      std::snprintf(Text.data(), Text.size(), "%016llx-%016llx-%016llx",
                    static_cast<unsigned long long>(Id.Origin),
                    static_cast<unsigned long long>(Id.Run),
                    static_cast<unsigned long long>(Id.Sequence));
  return {Text.data(), static_cast<std::size_t>(Length)};
}

std::optional<RequestId> parseRequestId(std::string_view Text) {
  if (Text.size() != RequestIdLength || Text[HexDigits] != '-' ||
      Text[2 * HexDigits + 1] != '-') {
    return std::nullopt;
  }
  const auto ParsePart = [Text](std::size_t Number) {
    return parseNumber(Text.substr(Number * (HexDigits + 1), HexDigits), 16,
                       UINT64_MAX);
  };
  const auto Origin = ParsePart(0);
  const auto Run = ParsePart(1);
  const auto Sequence = ParsePart(2);
  if (!Origin || !Run || !Sequence) {
    return std::nullopt;
  }
  return RequestId{.Origin = *Origin, .Run = *Run, .Sequence = *Sequence};
}

} // namespace magnolia::policy
