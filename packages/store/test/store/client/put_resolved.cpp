#include "store/client/put_resolved.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>

namespace magnolia::store {
namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds Timeout{5000};
constexpr Milliseconds ShortTimeout{30};
const PutRequest Own{.Key = "k", .Value = R"({"operation_id":"own"})"};

// In-memory store of one key. The test sets the outcome of each put and read.
struct ScriptedStore {
  enum class PutStep {
    Normal,
    // Carried out, response lost.
    Lost,
    // Not carried out, response lost.
    Dropped,
    // Carried out, response lost, then overwritten by another write.
    Overwritten,
    // Another write comes first, response lost.
    Overtaken,
    // Arrives only when the key is read for the first time.
    Delayed,
    Refused,
  };
  std::vector<PutStep> Steps;
  bool ReadsFail = false;
  Entry Current;
  Revision Last = 0;
  std::size_t Puts = 0;
  std::optional<PutRequest> Pending;

  void write(const std::string &Value) { Current = {"k", Value, ++Last, 0}; }

  std::optional<Revision> tryPut(const PutRequest &Request, StoreError &Error) {
    if (Request.Expected != Current.ModRevision) {
      Error = {StoreErrorKind::Conflict, "conflict", Current.ModRevision};
      return std::nullopt;
    }
    write(Request.Value);
    return Last;
  }

  std::optional<Revision> put(const PutRequest &Request, StoreError &Error) {
    const PutStep Step = Puts < Steps.size() ? Steps[Puts] : PutStep::Normal;
    ++Puts;
    if (Step == PutStep::Normal)
      return tryPut(Request, Error);
    if (Step == PutStep::Overtaken)
      write("another's");
    if (Step == PutStep::Lost || Step == PutStep::Overwritten)
      (void)tryPut(Request, Error);
    if (Step == PutStep::Overwritten)
      write("another's");
    if (Step == PutStep::Delayed)
      Pending = Request;
    Error = {Step == PutStep::Refused ? StoreErrorKind::Unavailable
                                      : StoreErrorKind::OutcomeUnknown,
             "lost"};
    return std::nullopt;
  }

  std::optional<Entry> read(StoreError &Error) {
    Error = {ReadsFail ? StoreErrorKind::Unavailable : StoreErrorKind::NotFound,
             "no entry"};
    const Entry Result = Current;
    if (Pending) {
      (void)tryPut(*Pending, Error);
      Pending.reset();
    }
    if (ReadsFail || Result.ModRevision == 0)
      return std::nullopt;
    return Result;
  }

  StoreOperations operations() {
    StoreOperations Store;
    Store.Put = [this](const PutRequest &Request, Milliseconds,
                       StoreError &Error) { return put(Request, Error); };
    Store.Read = [this](std::string_view, Milliseconds, StoreError &Error) {
      return read(Error);
    };
    return Store;
  }
};

using Step = ScriptedStore::PutStep;

struct ResolveRow {
  const char *GuardsAgainst;
  std::vector<Step> Steps;
  Milliseconds Limit;
  std::string ValueAfter;
  // Empty for success.
  std::optional<StoreErrorKind> Expected;
  bool ReadsFail = false;
};

TEST(PutResolved, ResolvesLostResponses) {
  const auto Conflict = StoreErrorKind::Conflict;
  const auto Unknown = StoreErrorKind::OutcomeUnknown;
  const ResolveRow Rows[] = {
      {"needless reads after a normal write",
       {Step::Normal},
       Timeout,
       Own.Value,
       {},
       false},
      {"an own write reported as a conflict",
       {Step::Lost},
       Timeout,
       Own.Value,
       {},
       false},
      {"a request lost before it reaches the store",
       {Step::Dropped},
       Timeout,
       Own.Value,
       {},
       false},
      {"two lost responses in a row",
       {Step::Dropped, Step::Lost},
       Timeout,
       Own.Value,
       {},
       false},
      {"a first attempt that arrives after the read, reported as a conflict",
       {Step::Delayed},
       Timeout,
       Own.Value,
       {},
       false},
      {"a success reported for an overwritten write",
       {Step::Overwritten},
       Timeout,
       "another's",
       Conflict,
       false},
      {"another client's write that is overwritten",
       {Step::Overtaken},
       Timeout,
       "another's",
       Conflict,
       false},
      {"an unknown outcome reported as not done",
       {Step::Lost},
       ShortTimeout,
       Own.Value,
       Unknown,
       true},
      {"a dropped write reported as done",
       {Step::Dropped},
       ShortTimeout,
       "",
       Unknown,
       true},
      {"an outage reported as an unknown outcome",
       {Step::Refused},
       Timeout,
       "",
       StoreErrorKind::Unavailable,
       true},
  };
  for (const ResolveRow &Row : Rows) {
    ScriptedStore Script;
    Script.Steps = Row.Steps;
    Script.ReadsFail = Row.ReadsFail;
    StoreError LastError;
    const auto Written =
        putResolved(Script.operations(), Own, "own", Row.Limit, LastError);
    EXPECT_EQ(Written.has_value(), !Row.Expected)
        << Row.GuardsAgainst << ": " << LastError.Detail;
    if (Row.Expected) {
      EXPECT_EQ(LastError.Kind, *Row.Expected) << Row.GuardsAgainst;
    } else {
      EXPECT_EQ(Written, Script.Current.ModRevision) << Row.GuardsAgainst;
    }
    EXPECT_EQ(Script.Current.Value, Row.ValueAfter) << Row.GuardsAgainst;
  }
}

// Guards against a value whose lost response cannot be resolved.
TEST(PutResolved, RequiresTheOperationIdInTheValue) {
  ScriptedStore Script;
  StoreError LastError;
  EXPECT_FALSE(
      putResolved(Script.operations(), Own, "other", Timeout, LastError));
  EXPECT_EQ(LastError.Kind, StoreErrorKind::Malformed);
  EXPECT_EQ(Script.Puts, 0U);
}

} // namespace
} // namespace magnolia::store
