#ifndef SETTINGS_RECORD_ROUTING_LINES_H
#define SETTINGS_RECORD_ROUTING_LINES_H

#include <cstddef>
#include <string>

namespace magnolia::settings {

// Value of the routing table in effect, with which the next one is compared.
// Empty before the first table. Its size is at most MaxRoutingSize.
struct RoutingLines {
  std::string Text;
  std::size_t Routes = 0;
  std::size_t Services = 0;
};

} // namespace magnolia::settings

#endif
