#include "wire/frame/frame_buffer.h"

#include "wire/peer.pb.h"

#include <gtest/gtest.h>

#include <cstring>
#include <string_view>

namespace magnolia::wire {
namespace {

void feed(FrameBuffer &Buffer, std::string_view Bytes) {
  const std::span<char> Space = Buffer.prepare(Bytes.size());
  std::memcpy(Space.data(), Bytes.data(), Bytes.size());
  Buffer.commit(Bytes.size());
}

PeerFrame pingFrame(std::uint64_t Sequence) {
  PeerFrame Frame;
  Frame.mutable_ping()->set_sequence(Sequence);
  return Frame;
}

// Guards against frames that are lost or merged if a read ends inside them.
TEST(FrameBuffer, ExtractsFramesAtAnyReadBoundary) {
  std::string Stream;
  for (std::uint64_t I = 1; I <= 3; ++I) {
    ASSERT_TRUE(appendFrame(Stream, pingFrame(I * 1000)));
  }
  for (std::size_t Piece = 1; Piece <= Stream.size(); ++Piece) {
    FrameBuffer Buffer;
    PeerFrame Frame;
    std::uint64_t Seen = 0;
    for (std::size_t At = 0; At < Stream.size(); At += Piece) {
      feed(Buffer, std::string_view(Stream).substr(At, Piece));
      while (Buffer.next(Frame) == FrameStatus::Ready) {
        EXPECT_EQ(Frame.ping().sequence(), ++Seen * 1000);
      }
    }
    EXPECT_EQ(Seen, 3U) << Piece;
    EXPECT_TRUE(Buffer.empty());
  }
}

struct FaultRow {
  const char *Failure;
  std::string Bytes;
  FrameStatus Expected;
};

TEST(FrameBuffer, FaultTable) {
  const FaultRow Rows[] = {
      {"memory allocated for an oversized prefix",
       std::string("\xFF\xFF\xFF\xFF"), FrameStatus::Broken},
      {"a frame one byte over the maximum", std::string("\x00\x08\x00\x01", 4),
       FrameStatus::Broken},
      {"invalid bytes accepted as a frame",
       std::string("\x00\x00\x00\x02\xFF\xFF", 6), FrameStatus::Broken},
      {"an empty frame accepted as a message", std::string(4, '\0'),
       FrameStatus::Broken},
      {"a truncated prefix accepted as a frame", std::string(3, '\0'),
       FrameStatus::NeedMore},
      {"a truncated frame accepted as a complete one",
       std::string("\x00\x00\x00\x04\x52\x02", 6), FrameStatus::NeedMore},
  };
  static_assert(FrameMaximumBytes == 0x80000);
  for (const FaultRow &Row : Rows) {
    FrameBuffer Buffer;
    PeerFrame Frame;
    feed(Buffer, Row.Bytes);
    EXPECT_EQ(Buffer.next(Frame), Row.Expected) << Row.Failure;
  }
}

// Guards against connections that keep the memory of their largest frame while
// they are idle.
TEST(FrameBuffer, FreesTheMemoryOfALargeFrame) {
  PeerFrame Frame;
  Frame.mutable_body()->set_data(std::string(BodyChunkBytes, 'x'));
  std::string Encoded;
  ASSERT_TRUE(appendFrame(Encoded, Frame));
  FrameBuffer Buffer;
  feed(Buffer, Encoded);
  ASSERT_EQ(Buffer.next(Frame), FrameStatus::Ready);
  EXPECT_GT(Buffer.capacity(), BodyChunkBytes);
  (void)Buffer.prepare(16'384);
  EXPECT_LT(Buffer.capacity(), 65'536U);
}

// Guards against an encoder that sends frames that the decoder rejects.
TEST(FrameBuffer, RejectsOversizedFramesOnEncoding) {
  PeerFrame Frame;
  Frame.mutable_body()->set_data(std::string(FrameMaximumBytes, 'x'));
  std::string Buffer = "kept";
  EXPECT_FALSE(appendFrame(Buffer, Frame));
  EXPECT_EQ(Buffer, "kept");
}

} // namespace
} // namespace magnolia::wire
