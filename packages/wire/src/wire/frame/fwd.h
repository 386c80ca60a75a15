#ifndef WIRE_FRAME_FWD_H
#define WIRE_FRAME_FWD_H

namespace magnolia::wire {

class FrameBuffer;

} // namespace magnolia::wire

#endif
