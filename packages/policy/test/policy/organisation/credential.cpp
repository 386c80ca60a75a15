#include "policy/organisation/credential.h"

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

namespace magnolia::policy {
namespace {

struct CredentialRow {
  const char *Failure;
  std::vector<std::string_view> Values;
  CredentialFault Fault;
  std::string_view Key;
};

// Guards against a request that is let in without a valid key, or rejected with
// one.
TEST(Credential, Table) {
  const std::string Long = "Token " + std::string(8192, 'k');
  const std::string Longest = "Token " + std::string(MaxCredentialBytes, 'k');
  const CredentialRow Rows[] = {
      {"a key", {"Token abc"}, CredentialFault::None, "abc"},
      {"another case of the scheme",
       {"tOKEN abc"},
       CredentialFault::None,
       "abc"},
      {"several blanks", {" Token \t abc "}, CredentialFault::None, "abc"},
      {"the longest key",
       {Longest},
       CredentialFault::None,
       std::string_view(Longest).substr(6)},
      {"no header", {}, CredentialFault::Missing, ""},
      {"two headers, of which one is valid",
       {"Token abc", "Token abc"},
       CredentialFault::Repeated,
       ""},
      {"another scheme", {"Bearer abc"}, CredentialFault::OtherScheme, ""},
      {"a key without a scheme", {"abc"}, CredentialFault::OtherScheme, ""},
      {"a scheme that begins alike",
       {"Tokens abc"},
       CredentialFault::OtherScheme,
       ""},
      {"an empty header", {""}, CredentialFault::OtherScheme, ""},
      {"an empty key", {"Token "}, CredentialFault::Empty, ""},
      {"a scheme alone", {"Token"}, CredentialFault::Empty, ""},
      {"a key of 8 KiB", {Long}, CredentialFault::TooLong, ""}};
  for (const CredentialRow &Row : Rows) {
    const Credential Read = readCredential(Row.Values, "Token");
    EXPECT_EQ(Read.Fault, Row.Fault) << Row.Failure;
    EXPECT_EQ(Read.Key, Row.Key) << Row.Failure;
    EXPECT_FALSE(toString(Read.Fault).empty());
  }
}

} // namespace
} // namespace magnolia::policy
