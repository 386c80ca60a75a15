#include "daemon/peer/call_frames.h"

#include "daemon/memory/held_bytes.h"
#include "daemon/memory/release_buffer.h"
#include "daemon/peer/peer_connection.h"
#include "policy/core/status_class.h"
#include "wire/convert/convert.h"
#include "wire/frame/limits.h"
#include "wire/peer.pb.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace magnolia::daemon {

namespace {

using wire::BodyChunkBytes;

template <class Message>
void writeHeaders(const HttpHeaders &From, Message &To) {
  for (const HttpHeader &Header : From) {
    auto *Added = To.add_headers();
    Added->set_name(Header.Name);
    Added->set_value(Header.Value);
  }
}

template <class Message>
bool readHeaders(const Message &From, HttpHeaders &To) {
  if (static_cast<std::size_t>(From.headers_size()) >
      wire::HeaderMaximumCount) {
    return false;
  }
  To.clear();
  To.reserve(static_cast<std::size_t>(From.headers_size()));
  for (const auto &Header : From.headers()) {
    To.push_back({Header.name(), Header.value()});
    if (!isValidHeader(To.back())) {
      return false;
    }
  }
  return true;
}

// Bytes of a frame besides its chunk of the body, and of the first one's
// headers.
constexpr std::size_t FrameOverhead = 64;
constexpr std::size_t UsualHeadBytes = 4096;

// Avoids the copies of a buffer that grows with a large body.
void reserveFrames(PeerConnection &Connection, std::size_t BodyBytes) {
  if (BodyBytes > BodyChunkBytes) {
    const std::size_t Frames = BodyBytes / BodyChunkBytes + 1;
    Connection.reserve(BodyBytes + Frames * FrameOverhead + UsualHeadBytes);
  }
}

// Returns the memory that a body of this size will use, at least: a string
// doubles its capacity when it grows.
std::size_t capacityFor(const std::string &Body, std::size_t Size) {
  return Size <= Body.capacity() ? Body.capacity()
                                 : std::max(Size, 2 * Body.capacity());
}

bool queueChunks(PeerConnection &Connection, const policy::RequestId &Id,
                 std::string_view Rest) {
  while (!Rest.empty()) {
    const std::string_view Chunk = Rest.substr(0, BodyChunkBytes);
    Rest.remove_prefix(Chunk.size());
    if (!queueBodyChunk(Connection, Id, Chunk, Rest.empty())) {
      return false;
    }
  }
  return true;
}

std::uint32_t remainingMs(policy::TimePoint Deadline, policy::TimePoint Now) {
  const auto Left =
      std::chrono::ceil<std::chrono::milliseconds>(Deadline - Now).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      Left, 0, std::numeric_limits<std::int32_t>::max()));
}

bool hasNoBlanksOrControls(std::string_view Text) {
  return !Text.empty() && std::none_of(Text.begin(), Text.end(), [](char C) {
    const auto Byte = static_cast<unsigned char>(C);
    return Byte <= ' ' || Byte == 0x7F;
  });
}

} // namespace

bool queueRequest(PeerConnection &Connection, const CallRequest &Request,
                  policy::TimePoint Now) {
  reserveFrames(Connection, Request.Body.size());
  wire::PeerFrame Frame;
  wire::PeerRequest &Message = *Frame.mutable_request();
  wire::toWire(Request.Id, *Message.mutable_id());
  Message.set_service(Request.Service);
  Message.set_version(Request.Version);
  Message.set_method(Request.Method);
  Message.set_target(Request.Target);
  writeHeaders(Request.Headers, Message);
  Message.set_idempotent(Request.Idempotent);
  Message.set_remaining_deadline_ms(remainingMs(Request.Deadline, Now));
  Message.set_hops(Request.Hops);
  Message.set_sidecar_incarnation(Request.SidecarRun);
  Message.set_idempotency_key(Request.IdempotencyKey);
  Message.set_priority(Request.Priority);
  if (Request.Objective != policy::TimePoint{}) {
    Message.set_remaining_objective_ms(remainingMs(Request.Objective, Now));
  }
  Message.set_repeat(Request.Repeat);
  Message.set_has_choice(Request.HasChoice);
  Message.set_organisation(Request.Organisation);
  Message.set_nested(Request.Nested);
  Message.set_route(Request.Route);
  Message.set_bulk(Request.Bulk);
  Message.set_of_repeat(Request.OfRepeat);
  const std::string_view Body = Request.Body;
  Message.set_body(std::string(Body.substr(0, BodyChunkBytes)));
  Message.set_body_continues(Body.size() > BodyChunkBytes);
  return Connection.queue(Frame) &&
         (!Message.body_continues() ||
          queueChunks(Connection, Request.Id, Body.substr(BodyChunkBytes)));
}

bool queueBodyChunk(PeerConnection &Connection, const policy::RequestId &Id,
                    std::string_view Chunk, bool Last) {
  wire::PeerFrame Frame;
  wire::PeerBody &Body = *Frame.mutable_body();
  wire::toWire(Id, *Body.mutable_id());
  Body.set_data(std::string(Chunk));
  Body.set_last(Last);
  return Connection.queue(Frame);
}

bool queueResponse(PeerConnection &Connection, const policy::RequestId &Id,
                   const CallResponse &Response, std::size_t FirstChunkBytes) {
  const bool IsWhole = FirstChunkBytes >= BodyChunkBytes;
  reserveFrames(Connection, IsWhole ? Response.Body.size() : FirstChunkBytes);
  wire::PeerFrame Frame;
  wire::PeerAnswer &Message = *Frame.mutable_answer();
  wire::toWire(Id, *Message.mutable_id());
  wire::toWire(Response.Load, *Message.mutable_load());
  Message.set_reached(Response.Reached);
  Message.set_route_runs(Response.RouteRuns);
  Message.set_route_losses(Response.RouteLosses);
  if (Response.Kind) {
    Message.set_error_kind(static_cast<std::uint32_t>(*Response.Kind) + 1);
    Message.set_error_detail(Response.Detail);
    return Connection.queue(Frame);
  }
  Message.set_status(Response.Status);
  writeHeaders(Response.Headers, Message);
  const std::string_view Body = Response.Body;
  const std::size_t First = std::min(FirstChunkBytes, BodyChunkBytes);
  Message.set_body(std::string(Body.substr(0, First)));
  Message.set_body_continues(Body.size() > First);
  return Connection.queue(Frame) &&
         (!IsWhole || !Message.body_continues() ||
          queueChunks(Connection, Id, Body.substr(First)));
}

AssemblyStatus BodyAssembly::add(std::string &Body, wire::PeerBody &Chunk) {
  if (Chunk.aborted() || wire::fromWire(Chunk.id()) != Id) {
    return AssemblyStatus::Broken;
  }
  return addChunk(Body, Chunk.data(), Chunk.last());
}

AssemblyStatus BodyAssembly::addChunk(std::string &Body, std::string_view Chunk,
                                      bool Last) {
  const std::size_t Size = Body.size() + Chunk.size();
  if (!TooLarge && (Size > Limit || !hold(capacityFor(Body, Size)))) {
    TooLarge = true;
    releaseBuffer(Body);
    Share.reset();
  }
  if (TooLarge) {
    return Last ? AssemblyStatus::TooLargeDone : AssemblyStatus::TooLargeMore;
  }
  Body.append(Chunk);
  return Last ? AssemblyStatus::Done : AssemblyStatus::More;
}

bool BodyAssembly::hold(std::size_t Size) {
  if (Memory == nullptr || (!Share && Size <= HeldBytes::UncountedBytes)) {
    return true;
  }
  if (!Share) {
    Share = std::make_shared<HeldBytes>(*Memory);
  }
  LacksMemory = !Share->resize(Size);
  return !LacksMemory;
}

bool readRequest(const wire::PeerFrame &Frame, CallRequest &Request,
                 policy::TimePoint Now) {
  const wire::PeerRequest &Message = Frame.request();
  Request.Id = wire::fromWire(Message.id());
  Request.Service = Message.service();
  Request.Version = Message.version();
  Request.Method = Message.method();
  Request.Target = Message.target();
  Request.Idempotent = Message.idempotent();
  Request.Deadline =
      Now + std::chrono::milliseconds(Message.remaining_deadline_ms());
  Request.Hops = Message.hops();
  Request.SidecarRun = Message.sidecar_incarnation();
  Request.IdempotencyKey = Message.idempotency_key();
  Request.Priority = Message.priority();
  if (Message.remaining_objective_ms() != 0) {
    Request.Objective =
        Now + std::chrono::milliseconds(Message.remaining_objective_ms());
  }
  Request.Repeat = Message.repeat();
  Request.HasChoice = Message.has_choice();
  Request.Organisation = Message.organisation();
  Request.Nested = Message.nested();
  Request.Route = Message.route();
  Request.Bulk = Message.bulk();
  Request.OfRepeat = Message.of_repeat();
  return readHeaders(Message, Request.Headers) &&
         hasNoBlanksOrControls(Request.Method) &&
         hasNoBlanksOrControls(Request.Target);
}

bool readResponse(const wire::PeerFrame &Frame, CallResponse &Response) {
  const wire::PeerAnswer &Message = Frame.answer();
  Response.Load = wire::fromWire(Message.load());
  Response.Reached = Message.reached();
  Response.RouteRuns = Message.route_runs();
  Response.RouteLosses = Message.route_losses();
  if (Message.error_kind() != 0) {
    if (Message.error_kind() > policy::ErrorKindCount) {
      return false;
    }
    Response.Kind = static_cast<policy::ErrorKind>(Message.error_kind() - 1);
    Response.Detail = Message.error_detail();
    return !Message.body_continues();
  }
  Response.Status = static_cast<std::uint16_t>(Message.status());
  return policy::statusClassOf(Message.status()) ==
             policy::StatusClass::Final &&
         readHeaders(Message, Response.Headers);
}

} // namespace magnolia::daemon
