#include "store/client/http_store.h"

#include "standin_store/store_server.h"

#include <gtest/gtest.h>

#include <functional>
#include <future>
#include <thread>

namespace magnolia::store {
namespace {

using standin::Fault;
using standin::FaultMode;
using standin::StoreServer;
using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds Timeout{5000};
constexpr Milliseconds ShortTimeout{40};
constexpr Milliseconds LongDelay{20'000};

class HttpStore : public testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(Server.start());
    Store = httpStore({.Port = Server.port()});
  }

  Revision mustPut(const PutRequest &Request) {
    StoreError LastError;
    const auto Written = Store.Put(Request, Timeout, LastError);
    EXPECT_TRUE(Written) << LastError.Detail;
    return Written.value_or(0);
  }

  StoreServer Server{{}};
  StoreOperations Store;
};

struct FaultRow {
  const char *GuardsAgainst;
  StoreErrorKind Expected;
  Fault Affects;
  // True if the operation failed.
  std::function<bool(const StoreOperations &, StoreError &)> Fails;
};

const PutRequest NewKey{.Key = "services/new", .Value = "v"};

bool readFails(const StoreOperations &S, StoreError &E) {
  return !S.Read("services/a", ShortTimeout, E);
}

bool putFails(const StoreOperations &S, StoreError &E) {
  return !S.Put(NewKey, ShortTimeout, E);
}

TEST_F(HttpStore, MapsFaultsToErrors) {
  const Fault None;
  const Fault Down{FaultMode::Down};
  const Fault Slow{FaultMode::Slow, LongDelay};
  const Fault Lost{FaultMode::LoseResponses};
  const FaultRow Rows[] = {
      {"a read that waits for a store that is down",
       StoreErrorKind::Unavailable, Down, readFails},
      {"a rejected write reported as an unknown outcome",
       StoreErrorKind::Unavailable, Down, putFails},
      {"a watch that hides an outage", StoreErrorKind::Unavailable, Down,
       [](auto &S, auto &E) {
         return !S.Watch({.Prefix = "services/"}, Timeout, E);
       }},
      {"a read without a deadline", StoreErrorKind::Timeout, Slow, readFails},
      {"a late write reported as not done", StoreErrorKind::OutcomeUnknown,
       Slow, putFails},
      {"a write with a lost response reported as not done",
       StoreErrorKind::OutcomeUnknown, Lost, putFails},
      {"a deletion with a lost response reported as not done",
       StoreErrorKind::OutcomeUnknown, Lost,
       [](auto &S, auto &E) { return !S.Delete("services/b", 2, Timeout, E); }},
      {"a second entry under an existing key", StoreErrorKind::Conflict, None,
       [](auto &S, auto &E) {
         return !S.Put({.Key = "services/a", .Value = "v"}, Timeout, E);
       }},
      {"the deletion of a newer entry", StoreErrorKind::Conflict, None,
       [](auto &S, auto &E) { return !S.Delete("services/a", 9, Timeout, E); }},
      {"an absent key read as an empty value", StoreErrorKind::NotFound, None,
       [](auto &S, auto &E) { return !S.Read("services/x", Timeout, E); }},
      {"a write under an expired lease", StoreErrorKind::LeaseExpired, None,
       [](auto &S, auto &E) {
         const auto Lease = S.GrantLease(Timeout, Timeout, E);
         EXPECT_TRUE(Lease && S.RevokeLease(*Lease, Timeout, E));
         return !S.Put({.Key = "l", .Value = "v", .Lease = *Lease}, Timeout, E);
       }},
      {"a rollout driver that continues after its lease expired",
       StoreErrorKind::LeaseExpired, None,
       [](auto &S, auto &E) { return !S.KeepLease(77, Timeout, E); }},
      {"a value over the store's size limit", StoreErrorKind::TooLarge, None,
       [](auto &S, auto &E) {
         return !S.Put(
             {.Key = "k", .Value = std::string(MaxValueSize + 1, 'x')}, Timeout,
             E);
       }},
  };
  mustPut({.Key = "services/a", .Value = "1"});
  mustPut({.Key = "services/b", .Value = "1"});
  for (const FaultRow &Row : Rows) {
    // A new client has no connection with a delayed response.
    const StoreOperations Fresh = httpStore({.Port = Server.port()});
    Server.setFault(Row.Affects);
    StoreError LastError;
    EXPECT_TRUE(Row.Fails(Fresh, LastError)) << Row.GuardsAgainst;
    EXPECT_EQ(LastError.Kind, Row.Expected)
        << Row.GuardsAgainst << ": " << LastError.Detail;
    Server.setFault({});
  }
}

// Guards against a conflict that does not tell the caller which revision it
// conflicts with.
TEST_F(HttpStore, ConflictCarriesTheCurrentRevision) {
  const Revision First = mustPut({.Key = "k", .Value = "1"});
  const Revision Second =
      mustPut({.Key = "k", .Value = "2", .Expected = First});
  StoreError LastError;
  EXPECT_FALSE(Store.Put({.Key = "k", .Value = "3", .Expected = First}, Timeout,
                         LastError));
  EXPECT_EQ(LastError.Current, Second);
}

// Guards against values or keys that are changed by their encoding.
TEST_F(HttpStore, KeepsBytesOfAnyValueAndKey) {
  const std::string Key = "zones/a b&c=d/é%2F+";
  for (const std::size_t Size : {0U, 1U, 2U, 3U, 255U}) {
    std::string Value;
    for (std::size_t I = 0; I < Size; ++I)
      Value.push_back(static_cast<char>(I));
    StoreError LastError;
    const Revision At = mustPut({.Key = Key, .Value = Value});
    const auto Read = Store.Read(Key, Timeout, LastError);
    ASSERT_TRUE(Read) << LastError.Detail;
    EXPECT_EQ(*Read, (Entry{Key, Value, At, 0}));
    EXPECT_TRUE(Store.Delete(Key, At, Timeout, LastError)) << LastError.Detail;
  }
}

// Guards against a value of the maximum size that is rejected.
TEST_F(HttpStore, StoresTheLargestValue) {
  const std::string Value(MaxValueSize, 'x');
  mustPut({.Key = "k", .Value = Value});
  StoreError LastError;
  const auto Found = Store.Range("k", Timeout, LastError);
  ASSERT_TRUE(Found) << LastError.Detail;
  ASSERT_EQ(Found->Entries.size(), 1U);
  EXPECT_EQ(Found->Entries[0].Value, Value);
}

// Guards against a watch that misses a change made while it waits, or the end
// of a lease.
TEST_F(HttpStore, WatchReportsChangesAndDeletions) {
  const Revision Start = mustPut({.Key = "moves/a", .Value = "1"});
  auto Waiting = std::async(std::launch::async, [&] {
    StoreError Ignored;
    return Store.Watch(
        {.Prefix = "moves/", .After = Start, .Wait = Milliseconds(10'000)},
        Timeout, Ignored);
  });
  StoreError LastError;
  const auto Lease = Store.GrantLease(Milliseconds(30), Timeout, LastError);
  ASSERT_TRUE(Lease);
  const Revision Put =
      mustPut({.Key = "moves/b", .Value = "2", .Lease = *Lease});
  const auto Seen = Waiting.get();
  ASSERT_TRUE(Seen);
  EXPECT_EQ(Seen->Events,
            (std::vector<WatchEvent>{{"moves/b", "2", Put, false}}));
  const auto End = Store.Watch(
      {.Prefix = "moves/", .After = Put, .Wait = Milliseconds(10'000)}, Timeout,
      LastError);
  ASSERT_TRUE(End) << LastError.Detail;
  EXPECT_EQ(End->Events,
            (std::vector<WatchEvent>{{"moves/b", "", Put + 1, true}}));
}

// Guards against a control thread that cannot be joined during a watch.
TEST_F(HttpStore, CloseEndsAWatch) {
  auto Waiting = std::async(std::launch::async, [&] {
    StoreError LastError;
    const bool Succeeded =
        Store
            .Watch({.Prefix = "x", .After = 0, .Wait = Milliseconds(60'000)},
                   Timeout, LastError)
            .has_value();
    return Succeeded ? std::nullopt : std::optional(LastError.Kind);
  });
  while (Server.counters().WaitingWatches == 0)
    std::this_thread::yield();
  Store.Close();
  EXPECT_EQ(Waiting.get(), StoreErrorKind::Unavailable);
  StoreError LastError;
  EXPECT_FALSE(Store.Read("k", Timeout, LastError));
  EXPECT_EQ(LastError.Kind, StoreErrorKind::Unavailable);
}

// Guards against call rates that cannot be compared with the store's limits.
TEST_F(HttpStore, CountsCallsByKind) {
  StoreError LastError;
  mustPut({.Key = "k", .Value = "1"});
  (void)Store.Read("k", Timeout, LastError);
  (void)Store.Read("absent", Timeout, LastError);
  Server.setFault({FaultMode::Down});
  (void)Store.Range("", Timeout, LastError);
  EXPECT_EQ(Store.Counts->calls(CallKind::Read), 2U);
  EXPECT_EQ(Store.Counts->failures(CallKind::Read), 0U);
  EXPECT_EQ(Store.Counts->calls(CallKind::Put), 1U);
  EXPECT_EQ(Store.Counts->failures(CallKind::Range), 1U);
  EXPECT_EQ(Server.counters().Calls["read"], 2U);
}

// Guards against a refused connection reported as an unknown outcome.
TEST(HttpStoreDown, RefusedConnectionIsUnavailable) {
  StoreServer Server({});
  ASSERT_TRUE(Server.start());
  const StoreOperations Store = httpStore({.Port = Server.port()});
  Server.stop();
  StoreError LastError;
  EXPECT_FALSE(Store.Put(NewKey, Timeout, LastError));
  EXPECT_EQ(LastError.Kind, StoreErrorKind::Unavailable) << LastError.Detail;
}

} // namespace
} // namespace magnolia::store
