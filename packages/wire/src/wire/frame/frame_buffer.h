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

// Collects bytes from a stream and cuts frames out of them. Its memory is
// bounded by one frame of the greatest size and one read.
class FrameBuffer {
public:
  // Free room of at least the given size, to read into.
  [[nodiscard]] std::span<char> room(std::size_t Bytes);

  // Counts bytes that were read into the last room.
  void commit(std::size_t Bytes);

  // Cuts the oldest frame out and parses it. Broken means that the prefix is
  // over the maximum or the frame does not parse: the stream is of no use
  // from there on.
  [[nodiscard]] FrameStatus next(PeerFrame &Frame);

  // True where no partial frame is held.
  [[nodiscard]] bool empty() const;

private:
  std::string Bytes;
  std::size_t Begin = 0;
  std::size_t End = 0;
};

// Appends prefix and frame to the buffer. False where the frame is over the
// maximum; the buffer is unchanged then.
[[nodiscard]] bool appendFrame(std::string &Buffer, const PeerFrame &Frame);

} // namespace magnolia::wire

#endif
