#include "daemon/entry/own_host.h"

#include <algorithm>

namespace magnolia::daemon {

bool isOwnHost(std::string_view Address,
               std::initializer_list<std::string_view> Own) {
  return !Address.empty() &&
         (Address.starts_with("127.") ||
          std::find(Own.begin(), Own.end(), Address) != Own.end());
}

} // namespace magnolia::daemon
