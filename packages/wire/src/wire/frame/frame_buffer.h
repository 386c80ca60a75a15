#ifndef WIRE_FRAME_FRAME_BUFFER_H
#define WIRE_FRAME_FRAME_BUFFER_H

#include "wire/frame/limits.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace magnolia::wire {

class PeerFrame;
class SealedMessage;

// State of the oldest frame in a FrameBuffer.
enum class FrameStatus : std::uint8_t { Ready, NeedMore, Broken };

// Extracts frames from a byte stream. Its memory is bounded by one frame of the
// maximum size and one read.
class FrameBuffer {
public:
  // Frames over the maximum size are rejected before they are buffered.
  explicit FrameBuffer(std::size_t MaximumBytes = FrameMaximumBytes)
      : MaximumBytes(MaximumBytes) {}

  // Returns buffer space of at least the given size to read into.
  [[nodiscard]] std::span<char> prepare(std::size_t Bytes);

  // Adds bytes that were read into the space returned last.
  void commit(std::size_t Bytes);

  // Removes the oldest frame and parses it. Broken means that the prefix
  // exceeds the maximum or the frame does not parse; the rest of the stream is
  // unusable then.
  [[nodiscard]] FrameStatus next(PeerFrame &Frame);
  [[nodiscard]] FrameStatus next(SealedMessage &Message);

  // True if no partial frame is buffered.
  [[nodiscard]] bool empty() const;

  // Bytes of memory that the buffer uses.
  [[nodiscard]] std::size_t capacity() const { return Bytes.capacity(); }

private:
  // Removes the oldest frame and returns its content, which is valid until
  // prepare is called.
  [[nodiscard]] FrameStatus take(std::string_view &Content);

  std::size_t MaximumBytes;
  std::string Bytes;
  std::size_t Begin = 0;
  std::size_t End = 0;
};

// Appends prefix and frame to the buffer. Returns false and leaves the buffer
// unchanged if the frame exceeds the maximum size.
[[nodiscard]] bool appendFrame(std::string &Buffer, const PeerFrame &Frame);
[[nodiscard]] bool appendFrame(std::string &Buffer,
                               const SealedMessage &Message);

} // namespace magnolia::wire

#endif
