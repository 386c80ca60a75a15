#include "wire/seal.h"

#include "wire/seal/cluster_key.h"
#include "wire/seal/seal.h"

#include <string>
#include <utility>

namespace magnolia::wire {

SealedMessage seal(std::string_view Key, const ControlBody &Body) {
  return seal(ClusterKey{std::string(Key)}, Body.SerializeAsString());
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
    return Reject("sealed message: body over 4 MiB");
  }
  if (!isAuthentic(ClusterKey{std::string(Key)}, Message)) {
    return Reject("sealed message: wrong tag; check the cluster key");
  }
  ControlBody Body;
  if (!Body.ParseFromString(Message.body())) {
    return Reject("sealed message: the body is not a ControlBody");
  }
  return Body;
}

} // namespace magnolia::wire
