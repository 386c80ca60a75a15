#ifndef DAEMON_DUMP_DUMP_H
#define DAEMON_DUMP_DUMP_H

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace magnolia::daemon {

class Entry;
class LocalBackend;
class Metrics;
class Sidecar;

// State of the whole process as one JSON object with a member per part.
class Dump {
public:
  // JSON text of one part.
  using Part = std::function<std::string()>;

  // Adds a part or replaces it.
  void add(std::string Name, Part Source);
  void remove(const std::string &Name);

  [[nodiscard]] std::string text() const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, Part> Parts;
};

// Parts of the data path.
[[nodiscard]] std::string dumpEntry(Entry &From);
[[nodiscard]] std::string dumpSidecar(const Sidecar &From,
                                      const LocalBackend &Backend);
[[nodiscard]] std::string dumpMetrics(const Metrics &From);

} // namespace magnolia::daemon

#endif
