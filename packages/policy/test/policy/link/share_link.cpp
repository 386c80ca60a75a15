#include "policy/link/share_link.h"

#include <gtest/gtest.h>

#include <vector>

namespace magnolia::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(100)};
constexpr TimePoint Never = TimePoint::max();
constexpr std::size_t PieceBytes = 16'384;
constexpr std::size_t BodyBytes = 90'000;
// Link of 15 Mbit/s.
constexpr double LinkBytesPerSecond = 15e6 / 8;

LinkState narrowLink() {
  return {.Options = {.BytesPerSecond = LinkBytesPerSecond}};
}

TransferQuery query(TimePoint Now) {
  return {.Deadline = Now + milliseconds(2500),
          .Objective = Now + milliseconds(1200)};
}

// Guards against large bodies that fill the queue of the link, so that
// handshakes and short responses wait until they time out. Many bodies are
// sent at once; in no window may their pieces exceed the share for large
// bodies by more than one piece.
TEST(ShareLink, PiecesOfManyBodiesLeaveRoomForShortMessages) {
  LinkState State = narrowLink();
  std::vector<TimePoint> Times(400);
  for (TimePoint &Time : Times) {
    Time = *reservePiece(State, PieceBytes, Start, Never);
  }
  const double Rate = LinkBytesPerSecond * State.Options.BulkShare;
  for (std::size_t From = 0; From < Times.size(); From += 7) {
    for (std::size_t To = From; To < Times.size(); To += 13) {
      const double Elapsed =
          std::chrono::duration<double>(Times[To] - Times[From]).count();
      const auto Sent = static_cast<double>((To - From) * PieceBytes);
      EXPECT_LE(Sent, Elapsed * Rate + 1);
    }
  }
}

// Guards against a time reserved in the past after the link was idle, which
// would let a burst of pieces out at once.
TEST(ShareLink, IdleTimeIsNotSaved) {
  LinkState State = narrowLink();
  (void)reservePiece(State, PieceBytes, Start, Never);
  const TimePoint Later = Start + seconds(10);
  EXPECT_EQ(reservePiece(State, PieceBytes, Later, Never), Later);
  EXPECT_GT(*reservePiece(State, PieceBytes, Later, Never), Later);
}

// Load pattern: downloads arrive at 2.4 times the rate that the link can send,
// for ten seconds. Without the limit the wait grows to over ten seconds; with
// it, what is accepted waits at most half of the time to its objective.
TEST(ShareLink, BurstIsRejectedBeforeTheWaitExceedsItsUse) {
  LinkState State = narrowLink();
  State.MeanBodyBytes = BodyBytes;
  const double Rate = LinkBytesPerSecond * State.Options.BulkShare;
  const auto Between = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(BodyBytes / (2.4 * Rate)));
  Duration Longest{0};
  std::uint32_t Accepted = 0;
  for (TimePoint Now = Start; Now < Start + seconds(10); Now += Between) {
    if (!beginTransfer(State, query(Now), Now)) {
      continue;
    }
    ++Accepted;
    const TimePoint Sent = *reservePiece(State, BodyBytes, Now, Never);
    Longest = std::max(Longest, Sent - Now);
    endTransfer(State, BodyBytes);
    State.Transfers = 1;
  }
  EXPECT_LE(Longest, milliseconds(600));
  // The link stays fully used.
  EXPECT_GE(Accepted * BodyBytes, 0.95 * 10 * Rate);
  EXPECT_GT(State.Rejected, Accepted);
}

// Guards against a piece that is not sent and still delays the others.
TEST(ShareLink, TooLatePieceReservesNothing) {
  LinkState State = narrowLink();
  (void)reservePiece(State, BodyBytes, Start, Never);
  const TimePoint Free = State.FreeAt;
  EXPECT_FALSE(reservePiece(State, BodyBytes, Start, Start));
  EXPECT_EQ(State.FreeAt, Free);
}

// Guards against a request that is rejected although nothing is sent.
TEST(ShareLink, FirstTransferIsAccepted) {
  LinkState State = narrowLink();
  State.Options.BytesPerSecond = 1000;
  EXPECT_TRUE(beginTransfer(State, query(Start), Start));
  EXPECT_FALSE(beginTransfer(State, query(Start), Start));
}

// Guards against a limit on nodes that do not know the capacity of their link.
TEST(ShareLink, UnknownCapacityLimitsNothing) {
  LinkState State;
  EXPECT_FALSE(isLimited(State));
  for (int I = 0; I < 1000; ++I) {
    EXPECT_TRUE(beginTransfer(State, query(Start), Start));
    EXPECT_EQ(reservePiece(State, BodyBytes, Start, Never), Start);
  }
  EXPECT_EQ(expectedWait(State, Start), Duration{0});
}

// Guards against sizes of responses without a body in the average.
TEST(ShareLink, OnlySentBodiesCountForTheExpectedSize) {
  LinkState State = narrowLink();
  (void)beginTransfer(State, query(Start), Start);
  endTransfer(State, 0);
  EXPECT_EQ(State.MeanBodyBytes, 0);
  (void)beginTransfer(State, query(Start), Start);
  endTransfer(State, 1000);
  EXPECT_EQ(State.MeanBodyBytes, 1000);
  EXPECT_EQ(State.Transfers, 0U);
}

} // namespace
} // namespace magnolia::policy
