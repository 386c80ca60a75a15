#include "wire/frame/frame_buffer.h"

#include "wire/peer.pb.h"
#include "wire/types.pb.h"

#include <algorithm>
#include <cstring>

namespace magnolia::wire {

namespace {

// A larger buffer is freed once its frames are taken.
constexpr std::size_t KeptBytes = 65'536;

std::size_t prefixAt(const char *Bytes) {
  std::size_t Length = 0;
  for (std::size_t I = 0; I < FramePrefixBytes; ++I) {
    Length = (Length << 8) | static_cast<unsigned char>(Bytes[I]);
  }
  return Length;
}

template <class Message>
bool appendMessage(std::string &Buffer, const Message &Appended,
                   std::size_t MaximumBytes) {
  const std::size_t Length = Appended.ByteSizeLong();
  if (Length > MaximumBytes) {
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
  Appended.SerializeWithCachedSizesToArray(Target);
  return true;
}

} // namespace

std::span<char> FrameBuffer::prepare(std::size_t Wanted) {
  if (Begin == End) {
    Begin = End = 0;
    if (Bytes.size() > std::max(KeptBytes, Wanted)) {
      // An assignment would keep the memory.
      std::string().swap(Bytes);
    }
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

FrameStatus FrameBuffer::take(std::string_view &Content) {
  if (End - Begin < FramePrefixBytes) {
    return FrameStatus::NeedMore;
  }
  const std::size_t Length = prefixAt(Bytes.data() + Begin);
  if (Length > MaximumBytes) {
    return FrameStatus::Broken;
  }
  if (End - Begin < FramePrefixBytes + Length) {
    return FrameStatus::NeedMore;
  }
  Content = {Bytes.data() + Begin + FramePrefixBytes, Length};
  Begin += FramePrefixBytes + Length;
  return FrameStatus::Ready;
}

FrameStatus FrameBuffer::next(PeerFrame &Frame) {
  std::string_view Content;
  const FrameStatus Status = take(Content);
  if (Status != FrameStatus::Ready) {
    return Status;
  }
  const bool Parsed =
      Frame.ParseFromArray(Content.data(), static_cast<int>(Content.size()));
  return Parsed && Frame.kind_case() != PeerFrame::KIND_NOT_SET
             ? FrameStatus::Ready
             : FrameStatus::Broken;
}

FrameStatus FrameBuffer::next(SealedMessage &Message) {
  std::string_view Content;
  const FrameStatus Status = take(Content);
  if (Status != FrameStatus::Ready) {
    return Status;
  }
  return Message.ParseFromArray(Content.data(),
                                static_cast<int>(Content.size()))
             ? FrameStatus::Ready
             : FrameStatus::Broken;
}

bool FrameBuffer::empty() const { return Begin == End; }

bool appendFrame(std::string &Buffer, const PeerFrame &Frame) {
  return appendMessage(Buffer, Frame, FrameMaximumBytes);
}

bool appendFrame(std::string &Buffer, const SealedMessage &Message) {
  return appendMessage(Buffer, Message, ControlFrameMaximumBytes);
}

} // namespace magnolia::wire
