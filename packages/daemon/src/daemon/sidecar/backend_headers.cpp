#include "daemon/sidecar/backend_headers.h"

#include <charconv>

namespace magnolia::daemon {

bool isReservedHeader(const Dialect &Speaks, const HttpHeader &Header) {
  return equalNames(Header.Name, "Magnolia-Error") ||
         equalNames(Header.Name, "Magnolia-Run") ||
         (!Speaks.Headers.Incarnation.empty() &&
          equalNames(Header.Name, Speaks.Headers.Incarnation));
}

bool isSidecarHeader(const Dialect &Speaks, const HttpHeader &Header) {
  const HeaderNames &Names = Speaks.Headers;
  const auto Is = [&Header](std::string_view Name) {
    return !Name.empty() && equalNames(Header.Name, Name);
  };
  return Is(Names.Deadline) || Is(Names.Hops) || Is(Names.ExpectedInstance) ||
         Is("Magnolia-Service") ||
         (!Speaks.KeepsRequestId && Is(Names.RequestId));
}

const std::string *findOptionalHeader(const HttpHeaders &Headers,
                                      std::string_view Name) {
  return Name.empty() ? nullptr : findHeader(Headers, Name);
}

policy::Incarnation incarnationOf(const Dialect &Speaks,
                                  const HttpHeaders &Headers) {
  const std::string *Text =
      findOptionalHeader(Headers, Speaks.Headers.Incarnation);
  policy::Incarnation Run = 0;
  if (Text) {
    std::from_chars(Text->data(), Text->data() + Text->size(), Run);
  }
  return Run;
}

} // namespace magnolia::daemon
