#ifndef WIRE_SEAL_CONTROL_SEAL_H
#define WIRE_SEAL_CONTROL_SEAL_H

#include "policy/core/error.h"
#include "wire/control.pb.h"
#include "wire/frame/limits.h"
#include "wire/types.pb.h"

#include <optional>
#include <string_view>

namespace magnolia::wire {

// Serialises the body and authenticates it with the tag of wire/seal/seal.h
// for control messages, under the cluster key.
[[nodiscard]] SealedMessage seal(std::string_view Key, const ControlBody &Body);

// Returns the body of an authentic message. The result is empty if the key is
// too short, the tag is wrong, or the body is too long or not a ControlBody.
[[nodiscard]] std::optional<ControlBody> open(std::string_view Key,
                                              const SealedMessage &Message,
                                              policy::Error &LastError);

} // namespace magnolia::wire

#endif
