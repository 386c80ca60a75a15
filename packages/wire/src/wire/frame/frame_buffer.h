#ifndef WIRE_FRAME_FRAME_BUFFER_H
#define WIRE_FRAME_FRAME_BUFFER_H

#include "wire/frame/limits.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace magnolia::wire {

class PeerFrame;

// State of the oldest frame in a FrameBuffer.
enum class FrameStatus : std::uint8_t { Ready, NeedMore, Broken };

// Extracts frames from a byte stream. Its memory is bounded by one frame of the
// maximum size and one read.
class FrameBuffer {
public:
  // Returns buffer space of at least the given size to read into.
  [[nodiscard]] std::span<char> prepare(std::size_t Bytes);

  // Adds bytes that were read into the space returned last.
  void commit(std::size_t Bytes);

  // Removes the oldest frame and parses it. Broken means that the prefix
  // exceeds the maximum or the frame does not parse; the rest of the stream is
  // unusable then.
  [[nodiscard]] FrameStatus next(PeerFrame &Frame);

  // True if no partial frame is buffered.
  [[nodiscard]] bool empty() const;

private:
  std::string Bytes;
  std::size_t Begin = 0;
  std::size_t End = 0;
};

// Appends prefix and frame to the buffer. Returns false and leaves the buffer
// unchanged if the frame exceeds the maximum size.
[[nodiscard]] bool appendFrame(std::string &Buffer, const PeerFrame &Frame);

} // namespace magnolia::wire

#endif
