#include "wire/seal/hello.h"

#include "wire/peer.pb.h"
#include "wire/seal/seal.h"

namespace magnolia::wire {

namespace {

std::string helloTag(const ClusterKey &Key, SealPurpose Purpose,
                     const PeerHello &Hello, std::string_view OtherNonce) {
  return tagOf(Key, Purpose,
               {std::to_string(Hello.node()),
                std::to_string(Hello.incarnation()), Hello.nonce(),
                OtherNonce});
}

} // namespace

PeerHello helloOpening(policy::NodeId Node, policy::Incarnation Run) {
  PeerHello Hello;
  Hello.set_node(Node);
  Hello.set_incarnation(Run);
  Hello.set_nonce(randomBytes(NonceBytes));
  return Hello;
}

PeerHello helloResponse(const ClusterKey &Key, policy::NodeId Node,
                        policy::Incarnation Run,
                        std::string_view OpeningNonce) {
  PeerHello Hello = helloOpening(Node, Run);
  Hello.set_tag(helloTag(Key, SealPurpose::HelloAnswer, Hello, OpeningNonce));
  return Hello;
}

PeerHello helloProof(const ClusterKey &Key, const PeerHello &Opening,
                     std::string_view ResponseNonce) {
  PeerHello Hello = Opening;
  Hello.set_tag(helloTag(Key, SealPurpose::HelloProof, Hello, ResponseNonce));
  return Hello;
}

bool isValidOpening(const PeerHello &Opening) {
  return Opening.nonce().size() == NonceBytes;
}

bool isAuthenticResponse(const ClusterKey &Key, const PeerHello &Response,
                         std::string_view OpeningNonce) {
  return isValidOpening(Response) &&
         equalTags(Response.tag(), helloTag(Key, SealPurpose::HelloAnswer,
                                            Response, OpeningNonce));
}

bool isAuthenticProof(const ClusterKey &Key, const PeerHello &Proof,
                      const PeerHello &Opening,
                      std::string_view ResponseNonce) {
  return Proof.node() == Opening.node() &&
         Proof.incarnation() == Opening.incarnation() &&
         Proof.nonce() == Opening.nonce() &&
         equalTags(Proof.tag(), helloTag(Key, SealPurpose::HelloProof, Proof,
                                         ResponseNonce));
}

} // namespace magnolia::wire
