#include "policy/core/error_kind.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

// Guards against a retry of a request that may already have run: only kinds
// that rule this out are retryable.
TEST(ErrorKind, RetryableKindsAreNotRun) {
  for (const ErrorEntry &Entry : errorTable()) {
    if (Entry.Retryable) {
      EXPECT_EQ(Entry.Run, RunOutcome::No) << Entry.Name;
    }
  }
}

// Guards against a kind that a client cannot parse from the header.
TEST(ErrorKind, NameMapsBackToKind) {
  for (const ErrorEntry &Entry : errorTable()) {
    EXPECT_EQ(errorKindOf(Entry.Name), Entry.Kind);
  }
  EXPECT_EQ(errorKindOf("NoSuchKind"), std::nullopt);
}

} // namespace
} // namespace magnolia::policy
