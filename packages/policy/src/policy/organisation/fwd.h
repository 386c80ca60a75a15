#ifndef POLICY_ORGANISATION_FWD_H
#define POLICY_ORGANISATION_FWD_H

#include <cstdint>

namespace magnolia::policy {

enum class CredentialFault : std::uint8_t;
enum class ShareOutcome : std::uint8_t;
struct Authorization;
struct AuthorizationQuery;
struct Credential;
struct FairShare;
struct InheritedIdentity;
struct KeyOwner;

} // namespace magnolia::policy

#endif
