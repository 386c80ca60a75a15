#ifndef DAEMON_DUMP_WHERE_H
#define DAEMON_DUMP_WHERE_H

#include <optional>
#include <string>
#include <string_view>

namespace magnolia::daemon {

class Entry;

// Request whose way is to be explained.
struct WhereQuery {
  std::string Host;
  std::string Path = "/";
  std::string Method = "GET";
  // Organisation that makes the request; empty for a caller without a key.
  std::string Organisation;
  // True for a call that the local backend server makes while it runs a request
  // of the organisation.
  bool Nested = false;
};

// Reads the query of
// /-/where?host=H&path=P&method=M&organisation=O&nested=true. Returns nothing
// if a name is unknown or given twice, an encoding is malformed, the path is
// over 4096 or another value over 256 bytes, or nested is neither true nor
// false.
[[nodiscard]] std::optional<WhereQuery> parseWhere(std::string_view Target);

// Explains as JSON where the request would go now, or which rule would reject
// it, with the inputs of the decision and their age. It calls the functions
// that requests use, on a copy of their state, and sends nothing.
[[nodiscard]] std::string explainWhere(Entry &Owner, const WhereQuery &Query);

} // namespace magnolia::daemon

#endif
