#include "store/client/put_resolved.h"

#include <algorithm>
#include <string>
#include <thread>

namespace magnolia::store {
namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// Pause between two attempts to resolve a lost response. It doubles up to
// MaxPause, which avoids a burst of calls when the store becomes available
// again.
constexpr Milliseconds FirstPause{10};
constexpr Milliseconds MaxPause{500};

Milliseconds remaining(Clock::time_point Deadline) {
  return std::chrono::ceil<Milliseconds>(Deadline - Clock::now());
}

bool isInconclusive(StoreErrorKind Kind) {
  return Kind == StoreErrorKind::OutcomeUnknown ||
         Kind == StoreErrorKind::Unavailable || Kind == StoreErrorKind::Timeout;
}

// State of the key of a write with a lost response, as read from the store.
struct ReadBack {
  enum class State : std::uint8_t {
    OwnWrite,
    OtherWrite,
    Unchanged,
    Unreadable
  };
  State Found = State::Unreadable;
  Revision Current = 0;
};

ReadBack readBack(const StoreOperations &Store, const PutRequest &Request,
                  std::string_view OperationId, Milliseconds Timeout,
                  StoreError &LastError) {
  const auto Found = Store.Read(Request.Key, Timeout, LastError);
  if (!Found && LastError.Kind != StoreErrorKind::NotFound)
    return {};
  const Revision Current = Found ? Found->ModRevision : 0;
  if (Current == Request.Expected)
    return {ReadBack::State::Unchanged, Current};
  if (Found && Found->Value.find(OperationId) != std::string::npos)
    return {ReadBack::State::OwnWrite, Current};
  return {ReadBack::State::OtherWrite, Current};
}

StoreError conflictAfterLostResponse(const PutRequest &Request,
                                     Revision Current) {
  return {StoreErrorKind::Conflict,
          "key " + Request.Key + ": another write is at revision " +
              std::to_string(Current) + "; the response to this write was lost",
          Current};
}

} // namespace

std::optional<Revision> putResolved(const StoreOperations &Store,
                                    const PutRequest &Request,
                                    std::string_view OperationId,
                                    Milliseconds Timeout,
                                    StoreError &LastError) {
  if (OperationId.empty() ||
      Request.Value.find(OperationId) == std::string::npos) {
    LastError = {StoreErrorKind::Malformed,
                 "key " + Request.Key +
                     ": the value does not contain its operation id"};
    return std::nullopt;
  }
  const Clock::time_point Deadline = Clock::now() + Timeout;
  auto Written = Store.Put(Request, Timeout, LastError);
  if (Written || LastError.Kind != StoreErrorKind::OutcomeUnknown)
    return Written;
  const std::string FirstDetail = LastError.Detail;
  Milliseconds Pause = FirstPause;
  while (remaining(Deadline) > Milliseconds::zero()) {
    const ReadBack Back =
        readBack(Store, Request, OperationId, remaining(Deadline), LastError);
    if (Back.Found == ReadBack::State::OwnWrite)
      return Back.Current;
    if (Back.Found == ReadBack::State::OtherWrite) {
      LastError = conflictAfterLostResponse(Request, Back.Current);
      return std::nullopt;
    }
    if (Back.Found == ReadBack::State::Unchanged) {
      Written = Store.Put(Request, remaining(Deadline), LastError);
      if (Written)
        return Written;
      // The first attempt may have taken effect after the read, so the key is
      // read again.
      if (LastError.Kind == StoreErrorKind::Conflict)
        continue;
      if (!isInconclusive(LastError.Kind))
        break;
    }
    std::this_thread::sleep_for(std::min(Pause, remaining(Deadline)));
    Pause = std::min(Pause * 2, MaxPause);
  }
  LastError = {StoreErrorKind::OutcomeUnknown,
               "key " + Request.Key +
                   ": it is not known whether the write took effect (" +
                   FirstDetail + ")"};
  return std::nullopt;
}

} // namespace magnolia::store
