#ifndef DAEMON_ENTRY_OWN_HOST_H
#define DAEMON_ENTRY_OWN_HOST_H

#include <initializer_list>
#include <string_view>

namespace magnolia::daemon {

// Returns whether the address is a loopback address or one of the addresses of
// this host. All are numeric IPv4 addresses; an empty one equals no other.
[[nodiscard]] bool isOwnHost(std::string_view Address,
                             std::initializer_list<std::string_view> Own);

} // namespace magnolia::daemon

#endif
