#include "store/client/http_store.h"

#include "store/client/http_call.h"
#include "store/client/internal/codec.h"

#include <utility>

namespace magnolia::store {
namespace {

using Milliseconds = std::chrono::milliseconds;
using StatePointer = std::shared_ptr<HttpStoreState>;

constexpr std::size_t MaxKeySize = 1024;

std::optional<Revision> readConflict(const HttpBody &Body) {
  return internal::parseRevision(Body.Text);
}

void addReads(StoreOperations &Store, const StatePointer &State) {
  Store.Read = [State](std::string_view Key, Milliseconds Timeout,
                       StoreError &LastError) {
    const HttpCall Call{.Kind = CallKind::Read,
                        .Method = "GET",
                        .Path = "/v1/kv",
                        .Query = {{"key", std::string(Key)}},
                        .Body = {}};
    return callAndParse(*State, Call, Timeout, LastError, internal::parseEntry);
  };
  Store.Range = [State](std::string_view Prefix, Milliseconds Timeout,
                        StoreError &LastError) {
    const HttpCall Call{.Kind = CallKind::Range,
                        .Method = "GET",
                        .Path = "/v1/range",
                        .Query = {{"prefix", std::string(Prefix)}},
                        .Body = {}};
    return callAndParse(*State, Call, Timeout, LastError, internal::parseRange);
  };
  Store.Watch = [State](const WatchRequest &Request, Milliseconds Timeout,
                        StoreError &LastError) {
    const HttpCall Call{
        .Kind = CallKind::Watch,
        .Method = "GET",
        .Path = "/v1/watch",
        .Query = {{"prefix", Request.Prefix},
                  {"after", std::to_string(Request.After)},
                  {"wait_ms", std::to_string(Request.Wait.count())}},
        .Body = {}};
    return callAndParse(*State, Call, Timeout + Request.Wait, LastError,
                        internal::parseWatch);
  };
}

void addWrites(StoreOperations &Store, const StatePointer &State) {
  Store.Put = [State](const PutRequest &Request, Milliseconds Timeout,
                      StoreError &LastError) -> std::optional<Revision> {
    if (!isValid(Request, MaxKeySize, LastError))
      return std::nullopt;
    const HttpCall Call{.Kind = CallKind::Put,
                        .Method = "PUT",
                        .Path = "/v1/kv",
                        .Query = {},
                        .Body = internal::formatPut(Request),
                        .HasEffect = true,
                        .ReadConflict = readConflict};
    return callAndParse(*State, Call, Timeout, LastError,
                        internal::parseRevision);
  };
  Store.Delete = [State](std::string_view Key, Revision Expected,
                         Milliseconds Timeout, StoreError &LastError) {
    const HttpCall Call{
        .Kind = CallKind::Delete,
        .Method = "DELETE",
        .Path = "/v1/kv",
        .Query = {{"key", std::string(Key)},
                  {"expected_revision", std::to_string(Expected)}},
        .Body = {},
        .HasEffect = true,
        .ReadConflict = readConflict};
    return callAndParse(*State, Call, Timeout, LastError,
                        internal::parseRevision);
  };
}

void addLeases(StoreOperations &Store, const StatePointer &State) {
  Store.GrantLease = [State](Milliseconds TimeToLive, Milliseconds Timeout,
                             StoreError &LastError) {
    const HttpCall Call{.Kind = CallKind::LeaseGrant,
                        .Method = "POST",
                        .Path = "/v1/leases",
                        .Query = {},
                        .Body = internal::formatGrant(TimeToLive),
                        .HasEffect = true};
    return callAndParse(*State, Call, Timeout, LastError, internal::parseLease);
  };
  Store.KeepLease = [State](LeaseId Lease, Milliseconds Timeout,
                            StoreError &LastError) {
    // A keepalive is idempotent, so a lost response is not an unknown outcome.
    const HttpCall Call{.Kind = CallKind::LeaseKeepalive,
                        .Method = "POST",
                        .Path = "/v1/leases/keepalive",
                        .Query = {},
                        .Body = internal::formatLease(Lease)};
    return callStore(*State, Call, Timeout, LastError).has_value();
  };
  Store.RevokeLease = [State](LeaseId Lease, Milliseconds Timeout,
                              StoreError &LastError) {
    const HttpCall Call{.Kind = CallKind::LeaseRevoke,
                        .Method = "DELETE",
                        .Path = "/v1/leases",
                        .Query = {{"lease", std::to_string(Lease)}},
                        .Body = {},
                        .HasEffect = true};
    return callStore(*State, Call, Timeout, LastError).has_value();
  };
}

} // namespace

StoreOperations httpStore(const HttpStoreOptions &Options) {
  const StatePointer State(
      new HttpStoreState{Options, internal::ConnectionPool(Options)});
  StoreOperations Store;
  addReads(Store, State);
  addWrites(Store, State);
  addLeases(Store, State);
  Store.Close = [State] { State->Pool.close(); };
  Store.Counts = State->Counts;
  return Store;
}

} // namespace magnolia::store
