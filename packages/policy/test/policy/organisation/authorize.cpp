#include "policy/organisation/authorize.h"

#include <gtest/gtest.h>

#include <optional>
#include <random>

namespace magnolia::policy {
namespace {

using Random = std::mt19937_64;

AuthorizationQuery anyQuery(Random &Engine) {
  const auto Flip = [&Engine] { return Engine() % 2 == 0; };
  AuthorizationQuery Query{.Configured = Flip(),
                           .PublicRoute = Flip(),
                           .TableOutdated = Flip(),
                           .RoutePriority =
                               static_cast<std::uint32_t>(Engine() % 4)};
  if (Flip()) {
    Query.Parent = {.Organisation = Flip() ? "org-parent" : "",
                    .Priority = static_cast<std::uint32_t>(Engine() % 4)};
  }
  if (Flip()) {
    Query.Owner = {.Name = "org-key"};
    if (Flip()) {
      Query.Owner->Priority = static_cast<std::uint32_t>(Engine() % 4);
    }
  }
  return Query;
}

// Guards against a deployment without organisations that is served in another
// way than before.
TEST(Authorize, WithoutOrganisationsNothingChanges) {
  Random Engine(1);
  for (int I = 0; I < 10'000; ++I) {
    AuthorizationQuery Query = anyQuery(Engine);
    Query.Configured = false;
    const Authorization Decision = authorize(Query);
    EXPECT_EQ(Decision.Refusal, std::nullopt);
    EXPECT_EQ(Decision.Organisation, "");
    EXPECT_EQ(Decision.Priority, Query.RoutePriority);
    EXPECT_FALSE(Decision.StatesOrganisation);
  }
}

// Guards against a request that runs without a valid key, for another
// organisation than that of its key or its parent, or with another rank.
TEST(Authorize, OrganisationAndRankOverRandomRequests) {
  Random Engine(2);
  int Refused = 0;
  for (int I = 0; I < 10'000; ++I) {
    AuthorizationQuery Query = anyQuery(Engine);
    Query.Configured = true;
    const Authorization Decision = authorize(Query);
    const bool NeedsKey = !Query.PublicRoute && !Query.Parent;
    ASSERT_EQ(Decision.Refusal.has_value(), NeedsKey && !Query.Owner);
    if (Decision.Refusal) {
      ++Refused;
      EXPECT_EQ(*Decision.Refusal, Query.TableOutdated
                                       ? ErrorKind::ConfigurationOutdated
                                       : ErrorKind::Unauthorized);
      EXPECT_EQ(errorEntry(*Decision.Refusal).Run, RunOutcome::No);
      continue;
    }
    if (Query.Parent) {
      EXPECT_EQ(Decision.Organisation, Query.Parent->Organisation);
      EXPECT_EQ(Decision.Priority, Query.Parent->Priority);
    } else if (Query.PublicRoute) {
      EXPECT_EQ(Decision.Organisation, "");
      EXPECT_EQ(Decision.Priority, Query.RoutePriority);
    } else {
      EXPECT_EQ(Decision.Organisation, "org-key");
      EXPECT_EQ(Decision.Priority,
                Query.Owner->Priority.value_or(Query.RoutePriority));
    }
    EXPECT_EQ(Decision.StatesOrganisation,
              !Query.PublicRoute && !Decision.Organisation.empty());
  }
  EXPECT_GT(Refused, 0);
  EXPECT_EQ(errorEntry(ErrorKind::Unauthorized).Status, 401);
  EXPECT_FALSE(errorEntry(ErrorKind::Unauthorized).Retryable);
  EXPECT_TRUE(errorEntry(ErrorKind::ConfigurationOutdated).Retryable);
}

} // namespace
} // namespace magnolia::policy
