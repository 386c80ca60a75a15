#ifndef WIRE_FRAME_LIMITS_H
#define WIRE_FRAME_LIMITS_H

#include <cstddef>

namespace magnolia::wire {

// Length prefix of a frame, big-endian.
inline constexpr std::size_t FramePrefixBytes = 4;

// Longest piece of a body in one frame.
inline constexpr std::size_t BodyChunkBytes = std::size_t{256} * 1024;

// Longest frame: one body chunk and the headers of a request. A longer prefix
// is refused before any memory is taken for it.
inline constexpr std::size_t FrameMaximumBytes =
    BodyChunkBytes + std::size_t{256} * 1024;

// Most headers in one peer request or answer.
inline constexpr std::size_t HeaderMaximumCount = 256;

} // namespace magnolia::wire

#endif
