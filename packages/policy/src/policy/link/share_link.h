#ifndef POLICY_LINK_SHARE_LINK_H
#define POLICY_LINK_SHARE_LINK_H

#include "policy/link/link_state.h"
#include "policy/link/transfer_query.h"

#include <cstddef>
#include <optional>

namespace magnolia::policy {

// Returns true if the capacity of the link is known, so that large bodies are
// limited.
[[nodiscard]] bool isLimited(const LinkState &State);

// Decides whether a request with a large body is accepted. Returns false if its
// body would have to wait longer for the link than the request can afford. Each
// accepted request ends in one call of endTransfer.
[[nodiscard]] bool beginTransfer(LinkState &State, const TransferQuery &Query,
                                 TimePoint Now);

// Ends an accepted request. BodyBytes is the size of its body, or 0 if none was
// sent.
void endTransfer(LinkState &State, std::size_t BodyBytes);

// Returns the time at which the next piece of a large body may be sent, and
// reserves the link for it. Pieces of several bodies take turns in the order
// of the calls. Returns nothing and reserves nothing if that time is after the
// latest one.
[[nodiscard]] std::optional<TimePoint> reservePiece(LinkState &State,
                                                    std::size_t Bytes,
                                                    TimePoint Now,
                                                    TimePoint Latest);

// Returns an upper estimate of the time until the accepted bodies have been
// sent: each counts as a whole until it is complete.
[[nodiscard]] Duration expectedWait(const LinkState &State, TimePoint Now);

} // namespace magnolia::policy

#endif
