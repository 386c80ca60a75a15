#ifndef WIRE_SEAL_HELLO_H
#define WIRE_SEAL_HELLO_H

#include "policy/core/types.h"
#include "wire/seal/cluster_key.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace magnolia::wire {

class PeerHello;

inline constexpr std::size_t NonceBytes = 16;

// Handshake of a peer connection in three frames: the opening carries a nonce,
// the response authenticates that nonce with the cluster key and carries its
// own nonce, and the proof authenticates the response's nonce. A recorded
// handshake cannot be replayed because each side's tag depends on a fresh nonce
// of the other side. The proof is sent together with the first request, so the
// handshake costs one round trip.

[[nodiscard]] PeerHello helloOpening(policy::NodeId Node,
                                     policy::Incarnation Run);

[[nodiscard]] PeerHello helloResponse(const ClusterKey &Key,
                                      policy::NodeId Node,
                                      policy::Incarnation Run,
                                      std::string_view OpeningNonce);

[[nodiscard]] PeerHello helloProof(const ClusterKey &Key,
                                   const PeerHello &Opening,
                                   std::string_view ResponseNonce);

// True if the opening has a nonce of the right size.
[[nodiscard]] bool isValidOpening(const PeerHello &Opening);

[[nodiscard]] bool isAuthenticResponse(const ClusterKey &Key,
                                       const PeerHello &Response,
                                       std::string_view OpeningNonce);

// The proof must come from the node and incarnation that sent the opening.
[[nodiscard]] bool isAuthenticProof(const ClusterKey &Key,
                                    const PeerHello &Proof,
                                    const PeerHello &Opening,
                                    std::string_view ResponseNonce);

} // namespace magnolia::wire

#endif
