#include "wire/frame/frame_buffer.h"

#include "wire/peer.pb.h"

#include <cstring>

namespace magnolia::wire {

namespace {

std::size_t prefixAt(const char *Bytes) {
  std::size_t Length = 0;
  for (std::size_t I = 0; I < FramePrefixBytes; ++I) {
    Length = (Length << 8) | static_cast<unsigned char>(Bytes[I]);
  }
  return Length;
}

} // namespace

std::span<char> FrameBuffer::prepare(std::size_t Wanted) {
  if (Begin == End) {
    Begin = End = 0;
  }
  if (Bytes.size() - End < Wanted && Begin > 0) {
    std::memmove(Bytes.data(), Bytes.data() + Begin, End - Begin);
    End -= Begin;
    Begin = 0;
  }
  if (Bytes.size() - End < Wanted) {
    Bytes.resize(End + Wanted);
  }
  return {Bytes.data() + End, Bytes.size() - End};
}

void FrameBuffer::commit(std::size_t Count) { End += Count; }

FrameStatus FrameBuffer::next(PeerFrame &Frame) {
  if (End - Begin < FramePrefixBytes) {
    return FrameStatus::NeedMore;
  }
  const std::size_t Length = prefixAt(Bytes.data() + Begin);
  if (Length > FrameMaximumBytes) {
    return FrameStatus::Broken;
  }
  if (End - Begin < FramePrefixBytes + Length) {
    return FrameStatus::NeedMore;
  }
  const char *Start = Bytes.data() + Begin + FramePrefixBytes;
  Begin += FramePrefixBytes + Length;
  const bool Parsed = Frame.ParseFromArray(Start, static_cast<int>(Length));
  if (!Parsed || Frame.kind_case() == PeerFrame::KIND_NOT_SET) {
    return FrameStatus::Broken;
  }
  return FrameStatus::Ready;
}

bool FrameBuffer::empty() const { return Begin == End; }

bool appendFrame(std::string &Buffer, const PeerFrame &Frame) {
  const std::size_t Length = Frame.ByteSizeLong();
  if (Length > FrameMaximumBytes) {
    return false;
  }
  const std::size_t Start = Buffer.size();
  Buffer.resize(Start + FramePrefixBytes + Length);
  for (std::size_t I = 0; I < FramePrefixBytes; ++I) {
    const std::size_t Shift = 8 * (FramePrefixBytes - 1 - I);
    Buffer[Start + I] = static_cast<char>((Length >> Shift) & 0xFF);
  }
  auto *Target = reinterpret_cast<std::uint8_t *>(Buffer.data() + Start +
                                                  FramePrefixBytes);
  Frame.SerializeWithCachedSizesToArray(Target);
  return true;
}

} // namespace magnolia::wire
