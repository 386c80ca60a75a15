#ifndef CTL_TEST_FLEET_H
#define CTL_TEST_FLEET_H

#include "ctl/core/context.h"
#include "standin_store/store_server.h"
#include "store/client/http_store.h"

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace magnolia::ctl {

// Simulated nodes that accept pushed entries. Each pause of the command
// propagates the entries to one more member.
class Fleet {
public:
  explicit Fleet(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      Names.push_back(toString(address(I)));
    }
  }

  static settings::HostPort address(std::size_t Index) {
    return {"127.0.0.1", static_cast<std::uint16_t>(7000 + Index)};
  }

  NodeCaller caller() {
    return
        [this](const settings::HostPort &Node, const wire::ControlBody &Request,
               std::chrono::milliseconds,
               policy::Error &LastError) -> std::optional<wire::ControlBody> {
          const std::lock_guard Lock(Mutex);
          if (Unresponsive.count(toString(Node)) != 0) {
            LastError = {policy::ErrorKind::Internal, "no response"};
            return std::nullopt;
          }
          return answer(toString(Node), Request);
        };
  }

  void propagateToOneMore() {
    const std::lock_guard Lock(Mutex);
    if (Propagates && Reached < Names.size()) {
      Keys[Names[Reached]] = Keys[Names[0]];
      ++Reached;
    }
  }

  bool Propagates = true;
  std::set<std::string> Unresponsive;
  std::map<std::string, std::map<std::string, std::uint64_t>> Keys;

private:
  wire::ControlBody answer(const std::string &Node,
                           const wire::ControlBody &Request) {
    wire::ControlBody Response;
    if (Request.has_push_config()) {
      Reached = 1;
      for (const wire::ConfigEntry &Entry : Request.push_config().entries()) {
        Keys[Node][Entry.key()] = Entry.revision();
      }
      Response.mutable_push_config_answer();
      return Response;
    }
    wire::StatusAnswer &Status = *Response.mutable_status_answer();
    for (std::size_t I = 0; I < Names.size(); ++I) {
      auto *Member = Status.add_members();
      Member->set_address(address(I).Address);
      Member->set_control_port(address(I).Port);
      Member->set_zone("z1");
    }
    for (const auto &[Key, Revision] : Keys[Node]) {
      auto *Added = Status.add_keys();
      Added->set_key(Key);
      Added->set_revision(Revision);
    }
    return Response;
  }

  std::mutex Mutex;
  std::vector<std::string> Names;
  std::size_t Reached = 1;
};

// Context of a command with the stand-in store, simulated time and simulated
// nodes.
struct Bench {
  explicit Bench(std::size_t Members = 3) : Nodes(Members) {
    Server.start();
    Run.Store = store::httpStore({.Port = Server.port()});
    Run.CallNode = Nodes.caller();
    Run.Now = [this] { return Time; };
    Run.Pause = [this](std::chrono::milliseconds Length) {
      Time += Length;
      Nodes.propagateToOneMore();
    };
    Run.NewOperationId = [this] { return "op-" + std::to_string(++Ids); };
    Run.Options.Operator = "amina";
    Run.Options.Nodes = {Fleet::address(0)};
  }

  // Returns the value of a key in the store, empty if the key does not exist.
  std::string stored(const std::string &Key) const {
    store::StoreError Ignored;
    const auto Found = Run.Store.Read(Key, Run.Options.Timeout, Ignored);
    return Found ? Found->Value : "";
  }

  // Writes a key as another operator would.
  void write(const std::string &Key, const std::string &Value) const {
    const store::StoreOperations Other =
        store::httpStore({.Port = Server.port()});
    store::StoreError Ignored;
    const auto Before = Other.Read(Key, Run.Options.Timeout, Ignored);
    (void)Other.Put({.Key = Key,
                     .Value = Value,
                     .Expected = Before ? Before->ModRevision : 0},
                    Run.Options.Timeout, Ignored);
  }

  // Calls the hook before the next write of the command reaches the store.
  void beforeNextPut(std::function<void()> Hook) {
    Run.Store.Put = [Put = Run.Store.Put, Hook = std::move(Hook),
                     Called = false](const store::PutRequest &Request,
                                     std::chrono::milliseconds Timeout,
                                     store::StoreError &Error) mutable {
      if (!Called) {
        Called = true;
        Hook();
      }
      return Put(Request, Timeout, Error);
    };
  }

  [[nodiscard]] bool printed(const std::string &Text) const {
    return Stream.str().find(Text) != std::string::npos;
  }

  standin::StoreServer Server{{}};
  Fleet Nodes;
  policy::TimePoint Time{std::chrono::seconds(1'780'000'000)};
  int Ids = 0;
  std::ostringstream Stream;
  Output Out{Stream, false};
  Context Run{{}, {}, {}, {}, {}, {}, Out};
};

} // namespace magnolia::ctl

#endif
