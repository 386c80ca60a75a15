#include "policy/memory/byte_budget.h"

#include <gtest/gtest.h>

#include <vector>

namespace magnolia::policy {
namespace {

constexpr std::size_t Kibibyte = 1024;
constexpr std::size_t Mebibyte = 1024 * Kibibyte;

// Grows a body from nothing in steps until it is refused.
std::size_t growUntilRefused(ByteBudget &Budget, std::size_t Step) {
  std::size_t Size = 0;
  while (resize(Budget, Size, Size + Step)) {
    Size += Step;
  }
  return Size;
}

// Guards against bodies without end that together fill the memory or leave no
// room for usual ones.
TEST(ByteBudget, BodiesWithoutEndLeaveRoomForUsualOnes) {
  ByteBudget Budget{.Total = 40 * Mebibyte};
  for (int Body = 0; Body < 1000; ++Body) {
    (void)growUntilRefused(Budget, 16 * Kibibyte);
    EXPECT_LE(Budget.Held, Budget.Total);
  }
  ByteBudget Large{.Total = 40 * Mebibyte};
  for (int Body = 0; Body < 20; ++Body) {
    (void)growUntilRefused(Large, Mebibyte);
  }
  for (int Usual = 0; Usual < 50; ++Usual) {
    EXPECT_TRUE(resize(Large, 0, 8 * Kibibyte)) << Usual;
  }
}

// Guards against one body that takes most of the budget, and against a budget
// so strict that few large bodies fit.
TEST(ByteBudget, LargeBodiesTakeAtMostHalfOfWhatIsFree) {
  ByteBudget Budget{.Total = 64 * Mebibyte};
  EXPECT_FALSE(resize(Budget, 0, 29 * Mebibyte));
  EXPECT_TRUE(resize(Budget, 0, 16 * Mebibyte));
  EXPECT_TRUE(resize(Budget, 0, 16 * Mebibyte));
  EXPECT_FALSE(resize(Budget, 0, 16 * Mebibyte));
  EXPECT_EQ(Budget.Refused, 2U);
  EXPECT_EQ(Budget.Held, 32 * Mebibyte);
}

// Guards against bytes that stay counted, and against a limit that a number
// near the largest one passes.
TEST(ByteBudget, ReleasedBytesAreFreeAgain) {
  ByteBudget Budget{.Total = 16 * Mebibyte};
  ASSERT_TRUE(resize(Budget, 0, 4 * Mebibyte));
  EXPECT_FALSE(resize(Budget, 4 * Mebibyte, SIZE_MAX));
  EXPECT_TRUE(resize(Budget, 4 * Mebibyte, Mebibyte));
  EXPECT_TRUE(resize(Budget, Mebibyte, 0));
  EXPECT_EQ(Budget.Held, 0U);
  EXPECT_EQ(Budget.Peak, 4 * Mebibyte);
}

} // namespace
} // namespace magnolia::policy
