#ifndef POLICY_HEDGE_COPY_ACTION_H
#define POLICY_HEDGE_COPY_ACTION_H

#include <cstdint>

namespace magnolia::policy {

// How to proceed with the response to one copy of a request.
enum class CopyAction : std::uint8_t {
  // Passes it to the caller and cancels the other copy.
  Answer,
  // Keeps it until the other copy has ended, and passes it on only if that one
  // has no better response.
  Hold,
};

// Open is the number of other copies without a response. A server error may be
// a fault of one server, so the other copy may still succeed.
[[nodiscard]] constexpr CopyAction onCopyResponse(bool Hedged, bool ServerError,
                                                  std::uint32_t Open) {
  return Hedged && ServerError && Open > 0 ? CopyAction::Hold
                                           : CopyAction::Answer;
}

} // namespace magnolia::policy

#endif
