#ifndef STORE_CLIENT_INTERNAL_STORE_CONNECTION_H
#define STORE_CLIENT_INTERNAL_STORE_CONNECTION_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace magnolia::store::internal {

// Request to the store, as sent.
struct ConnectionRequest {
  std::string Method;
  // Path and query, percent-encoded.
  std::string Target;
  // JSON, or empty.
  std::string Body;
};

enum class ConnectionFailure : std::uint8_t {
  None,
  // No connection was established, so the store has not received the request.
  NotConnected,
  TimedOut,
  BodyTooLarge,
  // The connection ended, was stopped, or the bytes are not a response.
  Broken,
};

struct ConnectionResponse {
  ConnectionFailure Failure = ConnectionFailure::None;
  // Describes the failure.
  std::string Reason;
  unsigned Status = 0;
  std::string Body;
  // Value of the header that was asked for, or empty.
  std::string Header;
  bool KeepAlive = false;
};

// Limits and deadline of one exchange.
struct ExchangeLimits {
  std::chrono::steady_clock::time_point Deadline;
  std::size_t BodyBytes = 0;
  // Name of the header to return; may be empty.
  std::string_view HeaderName;
};

// Connection to the store that carries one exchange after the other. The head
// of a response and each line after it are bounded, as is the whole exchange by
// its deadline.
class StoreConnection {
public:
  StoreConnection(std::string Address, std::uint16_t Port);
  ~StoreConnection();
  StoreConnection(const StoreConnection &) = delete;
  StoreConnection &operator=(const StoreConnection &) = delete;

  // Connects if necessary, sends the request and reads its response.
  [[nodiscard]] ConnectionResponse exchange(const ConnectionRequest &Request,
                                            const ExchangeLimits &Limits);
  // Ends the exchange in progress, on any thread.
  void stop();

private:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Returns false if no connection is established by the deadline.
  [[nodiscard]] bool connect(TimePoint Deadline);
  [[nodiscard]] bool awaitConnected(TimePoint Deadline) const;
  [[nodiscard]] ConnectionFailure sendAll(std::string_view Bytes,
                                          TimePoint Deadline) const;
  [[nodiscard]] ConnectionResponse receive(const ExchangeLimits &Limits) const;
  void close();

  const std::string Address;
  const std::uint16_t Port;
  // Guards the change of the descriptor, which a stop uses.
  std::mutex Mutex;
  int Socket = -1;
};

} // namespace magnolia::store::internal

#endif
