#include "policy/organisation/credential.h"

#include <algorithm>

namespace magnolia::policy {
namespace {

constexpr std::string_view Blanks = " \t";

char lower(char Letter) {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter - 'A' + 'a')
                                        : Letter;
}

bool equalSchemes(std::string_view Left, std::string_view Right) {
  return std::equal(
      Left.begin(), Left.end(), Right.begin(), Right.end(),
      [](char First, char Second) { return lower(First) == lower(Second); });
}

std::string_view withoutBlanks(std::string_view Text) {
  const std::size_t Begin = Text.find_first_not_of(Blanks);
  if (Begin == std::string_view::npos) {
    return {};
  }
  return Text.substr(Begin, Text.find_last_not_of(Blanks) + 1 - Begin);
}

} // namespace

Credential readCredential(std::span<const std::string_view> Values,
                          std::string_view Scheme) {
  if (Values.empty()) {
    return {.Key = {}, .Fault = CredentialFault::Missing};
  }
  if (Values.size() > 1) {
    return {.Key = {}, .Fault = CredentialFault::Repeated};
  }
  const std::string_view Value = withoutBlanks(Values.front());
  const std::size_t End = std::min(Value.find_first_of(Blanks), Value.size());
  if (!equalSchemes(Value.substr(0, End), Scheme)) {
    return {.Key = {}, .Fault = CredentialFault::OtherScheme};
  }
  const std::string_view Key = withoutBlanks(Value.substr(End));
  if (Key.empty()) {
    return {.Key = {}, .Fault = CredentialFault::Empty};
  }
  if (Key.size() > MaxCredentialBytes) {
    return {.Key = {}, .Fault = CredentialFault::TooLong};
  }
  return {.Key = Key, .Fault = CredentialFault::None};
}

std::string_view toString(CredentialFault Fault) {
  switch (Fault) {
  case CredentialFault::None:
    return "unknown key";
  case CredentialFault::Missing:
    return "no key";
  case CredentialFault::Repeated:
    return "more than one key header";
  case CredentialFault::OtherScheme:
    return "another scheme";
  case CredentialFault::Empty:
    return "empty key";
  case CredentialFault::TooLong:
    return "key too long";
  }
  return "unknown key";
}

} // namespace magnolia::policy
