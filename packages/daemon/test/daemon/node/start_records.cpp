#include "daemon/node/start_records.h"

#include "settings/record/record_key.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace magnolia::daemon {
namespace {

const std::string Key = "0123456789abcdef0123456789abcdef";

// Store with the given entries that counts the calls.
struct CountingStore {
  std::vector<store::Entry> Entries;
  // Key that another node writes between the read and the write of this node.
  std::string ConcurrentKey;
  int Ranges = 0;
  int Puts = 0;
  store::PutRequest LastPut;

  store::StoreOperations operations() {
    store::StoreOperations Made;
    Made.Range = [this](std::string_view, std::chrono::milliseconds,
                        store::StoreError &) {
      ++Ranges;
      return std::optional(
          store::RangeResult{.Entries = Entries, .StoreRevision = 7});
    };
    Made.Put =
        [this](const store::PutRequest &Request, std::chrono::milliseconds,
               store::StoreError &LastError) -> std::optional<store::Revision> {
      ++Puts;
      LastPut = Request;
      if (!ConcurrentKey.empty()) {
        Entries.push_back({.Key = Request.Key, .Value = ConcurrentKey});
        LastError = {store::StoreErrorKind::Conflict, "exists"};
        return std::nullopt;
      }
      Entries.push_back({.Key = Request.Key, .Value = Request.Value});
      return 8;
    };
    return Made;
  }
};

// Reads the records without delays.
StartRecords readAtOnce(const store::StoreOperations &Store) {
  const auto Read =
      readStartRecords(Store, [](policy::Duration) { return true; });
  EXPECT_TRUE(Read);
  return Read.value_or(StartRecords{});
}

// Guards against a start that makes more than one call to the store.
TEST(StartRecords, ReadsAnExistingKeyWithOneCall) {
  CountingStore Store;
  Store.Entries = {{.Key = std::string(settings::ClusterKeyKey), .Value = Key},
                   {.Key = "routing/table", .Value = "{}", .ModRevision = 3}};
  const StartRecords Read = readAtOnce(Store.operations());
  EXPECT_EQ(Read.Key.Bytes, Key);
  EXPECT_EQ(Read.Records.Events.size(), 2U);
  EXPECT_EQ(Read.Records.StoreRevision, 7U);
  EXPECT_TRUE(Read.Records.Full);
  EXPECT_EQ(Store.Ranges, 1);
  EXPECT_EQ(Store.Puts, 0);
}

// Guards against two cluster keys if two nodes start at the same time.
TEST(StartRecords, TheFirstKeyWins) {
  CountingStore First;
  const StartRecords Made = readAtOnce(First.operations());
  EXPECT_GE(Made.Key.Bytes.size(), wire::ClusterKeyMinimumBytes);
  EXPECT_EQ(First.Entries.front().Value, Made.Key.Bytes);

  CountingStore Second;
  Second.ConcurrentKey = Key;
  EXPECT_EQ(readAtOnce(Second.operations()).Key.Bytes, Key);
  EXPECT_EQ(Second.Ranges, 2);
  EXPECT_EQ(Second.Puts, 1);
}

// Guards against one unusable entry in place of the cluster key that keeps
// every node from starting.
TEST(StartRecords, AnUnusableKeyIsReplaced) {
  for (const char *Odd : {"", "short"}) {
    CountingStore Store;
    Store.Entries = {{.Key = std::string(settings::ClusterKeyKey),
                      .Value = Odd,
                      .ModRevision = 3}};
    const StartRecords Made = readAtOnce(Store.operations());
    EXPECT_GE(Made.Key.Bytes.size(), wire::ClusterKeyMinimumBytes) << Odd;
    EXPECT_EQ(Store.LastPut.Expected, 3U) << Odd;
  }
}

// Guards against a process that cannot be stopped while it waits for the store.
TEST(StartRecords, AStopEndsTheWaitForTheStore) {
  int Calls = 0;
  store::StoreOperations Store;
  Store.Range =
      [&Calls](
          std::string_view, std::chrono::milliseconds,
          store::StoreError &LastError) -> std::optional<store::RangeResult> {
    ++Calls;
    LastError = {store::StoreErrorKind::Unavailable, "busy"};
    return std::nullopt;
  };
  int Sleeps = 0;
  EXPECT_FALSE(readStartRecords(
      Store, [&Sleeps](policy::Duration) { return ++Sleeps < 3; }));
  EXPECT_EQ(Calls, 2);
  EXPECT_FALSE(readStartRecords(Store, [](policy::Duration) { return false; }));
  EXPECT_EQ(Calls, 2);
}

} // namespace
} // namespace magnolia::daemon
