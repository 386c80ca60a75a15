#include "ctl/node/fetch_from_node.h"

#include "ctl/node/call_node.h"
#include "store/client/http_call.h"

#include <string_view>
#include <utility>

namespace magnolia::ctl {

NodeFetcher httpNodeFetcher() {
  return [](const settings::HostPort &Node, const std::string &Path,
            const QueryValues &Query, std::chrono::milliseconds Timeout,
            policy::Error &LastError) -> std::optional<std::string> {
    const store::HttpStoreOptions Options{.Address = Node.Address,
                                          .Port = Node.Port};
    store::HttpStoreState Client{Options,
                                 store::internal::ConnectionPool(Options)};
    store::StoreError Error;
    auto Body = store::callStore(Client,
                                 {.Kind = store::CallKind::Read,
                                  .Method = "GET",
                                  .Path = Path,
                                  .Query = Query,
                                  .Body = {}},
                                 Timeout, Error);
    if (!Body) {
      LastError = {policy::ErrorKind::Internal,
                   "node " + toString(Node) + ": " + Path + ": " +
                       std::string(store::toString(Error.Kind))};
      return std::nullopt;
    }
    return std::move(Body->Text);
  };
}

} // namespace magnolia::ctl
