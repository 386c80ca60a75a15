#ifndef BACKEND_PROMPT_SERVER_H
#define BACKEND_PROMPT_SERVER_H

#include <cstdint>
#include <httplib.h>

namespace magnolia::standin {

// HTTP server that takes a request the moment it arrives. The library itself
// sleeps for a millisecond in every eleven on an idle connection, which would
// show in measured latencies.
class PromptServer : public httplib::Server {
public:
  // Socket of the connection that the calling thread serves.
  [[nodiscard]] static int currentSocket();
  // Number of that connection in the order of acceptance.
  [[nodiscard]] static std::uint64_t currentConnection();
  // Connections accepted so far.
  [[nodiscard]] static std::uint64_t connectionsAccepted();

private:
  bool process_and_close_socket(socket_t Socket) override;
};

} // namespace magnolia::standin

#endif
