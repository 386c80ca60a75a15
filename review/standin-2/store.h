#ifndef REVIEW_STANDIN_2_STORE_H
#define REVIEW_STANDIN_2_STORE_H

#include "http.h"

#include <condition_variable>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace review {

// Stand-in of the platform's metadata store, as PROTOCOL.md describes it.
class Store {
public:
  struct Item {
    std::string Key;
    // Base64 text.
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    bool Deleted = false;
  };

  // Disruptions of the store, by the address of the caller.
  struct Faults {
    // The call was carried out, its response is lost, and its connection
    // returns nothing further.
    std::function<bool(const std::string &Caller)> Loses;
  };

  explicit Store(Faults Given) : Given(std::move(Given)) {}
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;
  ~Store();

  [[nodiscard]] bool start(const std::string &Address, std::uint16_t Port);

  // Writes a key for the operator, and returns the revision.
  std::uint64_t put(const std::string &Key, const std::string &Value);
  // Value of a key, decoded; empty if it is absent.
  [[nodiscard]] std::string value(const std::string &Key);

private:
  void acceptLoop();
  void serve(int Socket);
  Response answer(const Request &Call, int Socket);
  Response readKey(const Request &Call);
  Response readRange(const Request &Call);
  Response watch(const Request &Call, int Socket);
  Response transact(const Request &Call);
  void write(const std::string &Key, const std::string &Value, bool Deleted);

  const Faults Given;
  int Listener = -1;
  std::thread Acceptor;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  std::map<std::string, Item> Items;
  std::vector<Item> History;
  std::uint64_t Revision = 1;
  std::list<std::thread> Sessions;
  std::list<int> Sockets;
};

[[nodiscard]] std::string toBase64(std::string_view Bytes);
[[nodiscard]] std::string fromBase64(std::string_view Text);

} // namespace review

#endif
