#include "../support/sidecar_fixture.h"

#include "daemon/view/organisation_index.h"
#include "policy/admission/admit.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

// Keys that are withdrawn while a request waits for a slot.

namespace magnolia::daemon {
namespace {

using policy::ErrorKind;

struct SidecarKeys : test::SidecarFixture {
  void organise(const std::vector<settings::OrganisationRecord> &Records) {
    policy::Error LastError;
    auto Index = withChanges({}, {}, Records, LastError);
    ASSERT_TRUE(Index) << LastError.Detail;
    Own.setOrganisations(
        std::make_shared<const OrganisationIndex>(*std::move(Index)));
  }

  CallRequest requestOf(const char *Organisation, bool Nested = false) {
    CallRequest Made = request();
    Made.Organisation = Organisation;
    Made.Nested = Nested;
    Made.Objective = Made.Deadline;
    return Made;
  }
};

struct WithdrawnRow {
  const char *Failure;
  std::vector<settings::OrganisationRecord> Next;
  bool Nested;
  bool Runs;
};

// Guards against a request that waits while its key is withdrawn and then runs,
// and against one that is refused although its organisation lost no key.
TEST_F(SidecarKeys, WaitingRequestTable) {
  const WithdrawnRow Rows[] = {
      {"no change", {{.Name = "a", .Keys = {"k1", "k2"}}}, false, true},
      {"a new key", {{.Name = "a", .Keys = {"k3", "k2", "k1"}}}, false, true},
      {"a withdrawn key", {{.Name = "a", .Keys = {"k2"}}}, false, false},
      {"a withdrawn organisation", {{.Name = "b"}}, false, false},
      {"a nested call", {{.Name = "a", .Keys = {"k2"}}}, true, true}};
  startBackend([](const std::string &) { return test::plainResponse("ok"); });
  for (const WithdrawnRow &Row : Rows) {
    organise({{.Name = "a", .Keys = {"k1", "k2"}}});
    ASSERT_TRUE(
        std::holds_alternative<std::monostate>(Own.admit(request(), now())));
    SidecarCall Call(Own, requestOf("a", Row.Nested));
    Call.start(now());
    ASSERT_FALSE(Call.done()) << Row.Failure;
    organise(Row.Next);
    Own.complete({.NotSent = true}, now());
    finish(Call);
    const CallResponse &Response = Call.response();
    EXPECT_EQ(Response.Kind,
              Row.Runs ? std::nullopt
                       : std::optional(ErrorKind::ConfigurationOutdated))
        << Row.Failure;
    EXPECT_EQ(Response.Reached, Row.Runs) << Row.Failure;
    EXPECT_EQ(Own.load().InFlight, 0U) << Row.Failure;
  }
}

} // namespace
} // namespace magnolia::daemon
