#ifndef WIRE_FRAME_LIMITS_H
#define WIRE_FRAME_LIMITS_H

#include <cstddef>

namespace magnolia::wire {

// Size of the big-endian length prefix of a frame.
inline constexpr std::size_t FramePrefixBytes = 4;

// Largest body chunk in one frame.
inline constexpr std::size_t BodyChunkBytes = std::size_t{256} * 1024;

// Largest frame: one body chunk and the headers of a request. A frame with a
// larger length prefix is rejected before memory is allocated for it.
inline constexpr std::size_t FrameMaximumBytes =
    BodyChunkBytes + std::size_t{256} * 1024;

// Largest body of an authenticated control message. A larger one is rejected
// before its tag is computed.
inline constexpr std::size_t MaxSealedBody = std::size_t{4} * 1024 * 1024;

// Largest frame on a control connection: the body, its tag and their encoding.
inline constexpr std::size_t ControlFrameMaximumBytes = MaxSealedBody + 4096;

// Maximum number of headers in one peer request or response.
inline constexpr std::size_t HeaderMaximumCount = 256;

} // namespace magnolia::wire

#endif
