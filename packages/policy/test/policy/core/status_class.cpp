#include "policy/core/status_class.h"

#include <gtest/gtest.h>

namespace magnolia::policy {
namespace {

// Guards against a status that no reader waits behind or passes on by the same
// rule.
TEST(StatusClass, Table) {
  for (const unsigned Status : {0U, 1U, 42U, 99U, 101U, 600U, 999U, 65'536U}) {
    EXPECT_EQ(statusClassOf(Status), StatusClass::Invalid) << Status;
  }
  for (const unsigned Status : {100U, 102U, 103U, 199U}) {
    EXPECT_EQ(statusClassOf(Status), StatusClass::Interim) << Status;
  }
  for (const unsigned Status : {200U, 204U, 304U, 404U, 500U, 599U}) {
    EXPECT_EQ(statusClassOf(Status), StatusClass::Final) << Status;
  }
}

} // namespace
} // namespace magnolia::policy
