#ifndef BACKEND_PROMPT_SERVER_H
#define BACKEND_PROMPT_SERVER_H

#include <cstdint>
#include <httplib.h>

namespace magnolia::standin {

// HTTP server that reads a request as soon as it arrives. The library's own
// loop sleeps one millisecond in every eleven on an idle connection, which
// would distort measured latencies.
class PromptServer : public httplib::Server {
public:
  // Socket of the connection served by the calling thread.
  [[nodiscard]] static int currentSocket();
  // Sequence number of that connection, in order of acceptance.
  [[nodiscard]] static std::uint64_t currentConnection();
  // Connections accepted so far.
  [[nodiscard]] static std::uint64_t connectionsAccepted();

private:
  bool process_and_close_socket(socket_t Socket) override;
};

} // namespace magnolia::standin

#endif
