#ifndef DAEMON_DUMP_DUMP_H
#define DAEMON_DUMP_DUMP_H

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace magnolia::daemon {

class Entry;
class BodyMemory;
class LinkPacer;
class LocalBackend;
class Metrics;
class Sidecar;

// State of the process as one JSON object with a member for each component.
class Dump {
public:
  // Returns the JSON text of one component.
  using Component = std::function<std::string()>;

  // Adds or replaces a component.
  void add(std::string Name, Component Source);
  void remove(const std::string &Name);

  [[nodiscard]] std::string text() const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, Component> Components;
};

// Return the JSON text of the components of the data path.
[[nodiscard]] std::string dumpEntry(Entry &From);
[[nodiscard]] std::string dumpSidecar(const Sidecar &From,
                                      const LocalBackend &Backend);
[[nodiscard]] std::string dumpMetrics(const Metrics &From);
[[nodiscard]] std::string dumpBodyMemory(const BodyMemory &From);
[[nodiscard]] std::string dumpLink(const LinkPacer &From);

} // namespace magnolia::daemon

#endif
