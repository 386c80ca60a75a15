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
// the answer proves knowledge of the key over that nonce and brings its own,
// and the proof covers the answer's nonce. A recorded handshake is of no use
// because each side's tag depends on a fresh nonce of the other. The proof
// travels with the first request, so the handshake costs one round trip.

[[nodiscard]] PeerHello helloOpening(policy::NodeId Node,
                                     policy::Incarnation Run);

[[nodiscard]] PeerHello helloAnswer(const ClusterKey &Key, policy::NodeId Node,
                                    policy::Incarnation Run,
                                    std::string_view OpeningNonce);

[[nodiscard]] PeerHello helloProof(const ClusterKey &Key,
                                   const PeerHello &Opening,
                                   std::string_view AnswerNonce);

// True where the opening has a nonce of the right size.
[[nodiscard]] bool isValidOpening(const PeerHello &Opening);

[[nodiscard]] bool isAuthenticAnswer(const ClusterKey &Key,
                                     const PeerHello &Answer,
                                     std::string_view OpeningNonce);

// The proof must come from the node and run that sent the opening.
[[nodiscard]] bool isAuthenticProof(const ClusterKey &Key,
                                    const PeerHello &Proof,
                                    const PeerHello &Opening,
                                    std::string_view AnswerNonce);

} // namespace magnolia::wire

#endif
