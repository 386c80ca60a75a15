#include "wire/seal/control_seal.h"

#include "wire/seal/seal.h"

#include <string>

namespace magnolia::wire {
namespace {

std::string controlTag(std::string_view Key, std::string_view Body) {
  return tagOf({.Bytes = std::string(Key)}, SealPurpose::Control, {Body});
}

} // namespace

SealedMessage seal(std::string_view Key, const ControlBody &Body) {
  SealedMessage Message;
  Body.SerializeToString(Message.mutable_body());
  Message.set_tag(controlTag(Key, Message.body()));
  return Message;
}

std::optional<ControlBody> open(std::string_view Key,
                                const SealedMessage &Message,
                                policy::Error &LastError) {
  const auto Reject = [&LastError](std::string_view Detail) {
    LastError = {policy::ErrorKind::BadRequest, std::string(Detail)};
    return std::nullopt;
  };
  if (Key.size() < ClusterKeyMinimumBytes) {
    return Reject("the cluster key is shorter than 16 bytes");
  }
  if (Message.body().size() > MaxSealedBody) {
    return Reject("control message: the body is over 4 MiB");
  }
  if (!equalTags(Message.tag(), controlTag(Key, Message.body()))) {
    return Reject(
        "control message: wrong authentication tag; check the cluster key");
  }
  ControlBody Body;
  if (!Body.ParseFromString(Message.body())) {
    return Reject("control message: the body is not a ControlBody");
  }
  return Body;
}

} // namespace magnolia::wire
