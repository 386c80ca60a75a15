#include "wire/seal/seal.h"

#include "wire/peer.pb.h"
#include "wire/seal/hello.h"

#include <gtest/gtest.h>

namespace magnolia::wire {
namespace {

const ClusterKey Key{.Bytes = "0123456789abcdef"};
const ClusterKey OtherKey{.Bytes = "0123456789abcdeg"};

std::string hexOf(std::string_view Bytes) {
  std::string Hex;
  for (const char Byte : Bytes) {
    const auto Value = static_cast<unsigned char>(Byte);
    Hex += "0123456789abcdef"[Value >> 4];
    Hex += "0123456789abcdef"[Value & 15];
  }
  return Hex;
}

// Guards against a tag that other builds do not reproduce. The value was
// computed with another implementation of HMAC-SHA256 over "c", the length 4 in
// eight bytes and "body".
TEST(Seal, TagIsHmacSha256OfPurposeAndParts) {
  const ClusterKey Short{.Bytes = "key"};
  EXPECT_EQ(hexOf(tagOf(Short, SealPurpose::Control, {"body"})),
            "0ffa6e728ed6953559ee99b0c4f43d9b"
            "cc61ee624bd6794edab0e53fe82cb69c");
  EXPECT_NE(tagOf(Short, SealPurpose::Control, {"body"}),
            tagOf(Short, SealPurpose::Control, {"bo", "dy"}));
}

TEST(Seal, DatagramFaultTable) {
  const std::string Good = sealDatagram(Key, "update");
  EXPECT_EQ(openDatagram(Key, Good), "update");
  EXPECT_EQ(openDatagram(OtherKey, Good), std::nullopt);
  for (std::size_t I = 0; I < Good.size(); ++I) {
    std::string Changed = Good;
    Changed[I] = static_cast<char>(Changed[I] ^ 1);
    EXPECT_EQ(openDatagram(Key, Changed), std::nullopt) << "byte " << I;
  }
  EXPECT_EQ(openDatagram(Key, Good.substr(0, TagBytes - 1)), std::nullopt);
  EXPECT_EQ(openDatagram(Key, ""), std::nullopt);
}

// Guards against a handshake that accepts replayed frames or another key.
TEST(Hello, ReplayAndOtherKeysAreRejected) {
  const PeerHello Opening = helloOpening(7, 8);
  const PeerHello Response = helloResponse(Key, 9, 10, Opening.nonce());
  EXPECT_TRUE(isAuthenticResponse(Key, Response, Opening.nonce()));
  EXPECT_FALSE(isAuthenticResponse(OtherKey, Response, Opening.nonce()));
  EXPECT_FALSE(isAuthenticResponse(Key, Response, helloOpening(7, 8).nonce()));

  const PeerHello Proof = helloProof(Key, Opening, Response.nonce());
  EXPECT_TRUE(isAuthenticProof(Key, Proof, Opening, Response.nonce()));
  EXPECT_FALSE(isAuthenticProof(OtherKey, Proof, Opening, Response.nonce()));
  const PeerHello Later = helloResponse(Key, 9, 10, Opening.nonce());
  EXPECT_FALSE(isAuthenticProof(Key, Proof, Opening, Later.nonce()));
  PeerHello Renamed = Proof;
  Renamed.set_node(11);
  EXPECT_FALSE(isAuthenticProof(Key, Renamed, Opening, Response.nonce()));
  EXPECT_FALSE(isAuthenticProof(Key, Opening, Opening, Response.nonce()));
  EXPECT_FALSE(isValidOpening(PeerHello()));
}

// Guards against a start with an unreadable or guessable key.
TEST(ClusterKey, MissingFileIsNamed) {
  policy::Error LastError;
  EXPECT_FALSE(readClusterKey("no-such-file.key", LastError));
  EXPECT_NE(LastError.Detail.find("no-such-file.key"), std::string::npos);
}

} // namespace
} // namespace magnolia::wire
