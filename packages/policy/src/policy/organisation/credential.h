#ifndef POLICY_ORGANISATION_CREDENTIAL_H
#define POLICY_ORGANISATION_CREDENTIAL_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace magnolia::policy {

// Bytes of the longest key that is looked up.
inline constexpr std::size_t MaxCredentialBytes = 1024;

enum class CredentialFault : std::uint8_t {
  None,
  Missing,
  Repeated,
  OtherScheme,
  Empty,
  TooLong,
};

// Key that a request carries; empty if there is a fault.
struct Credential {
  std::string_view Key;
  CredentialFault Fault = CredentialFault::Missing;
};

// Reads the key from the values of all headers that may hold one: the scheme,
// blanks and the key. The case of the scheme does not matter.
[[nodiscard]] Credential
readCredential(std::span<const std::string_view> Values,
               std::string_view Scheme);

// Returns the fault for a log line; it never contains the key.
[[nodiscard]] std::string_view toString(CredentialFault Fault);

} // namespace magnolia::policy

#endif
