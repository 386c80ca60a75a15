#ifndef DAEMON_CONTROL_CONFIG_RUNNER_H
#define DAEMON_CONTROL_CONFIG_RUNNER_H

#include "daemon/control/config_traffic.h"
#include "daemon/control/fwd.h"
#include "policy/config/config_table.h"
#include "policy/config/fetch_call.h"
#include "policy/config/fetch_outcome.h"
#include "policy/config/fetch_state.h"
#include "policy/config/patch_outcome.h"
#include "policy/config/send_pace.h"
#include "policy/core/types.h"
#include "policy/fleet/repair_state.h"
#include "policy/membership/member.h"
#include "store/core/watch_result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::wire {
class ControlBody;
class ExchangeDigestRequest;
class FetchConfigAnswer;
class FetchConfigRequest;
class KeyRevision;
class PushConfigRequest;
class ValuePatch;
} // namespace magnolia::wire

namespace magnolia::daemon {

class MembershipRunner;

// Maintains the configuration table of this node: applies entries from the
// store, from operators and from other nodes, pushes new entries to other nodes
// and reconciles differences. Large values are announced and fetched, so that
// each node receives them once. Used by the control thread only.
class ConfigRunner {
public:
  // Origin of a batch of entries; it decides to which nodes the batch is
  // pushed.
  enum class Source { Store, Operator, Peer, Repair };
  // Called for each entry that changed the table.
  using EntryHandler =
      std::function<void(const policy::ConfigEntry &Entry, Source From)>;

  ConfigRunner(MembershipRunner &Membership, ControlClient &Client,
               TaskQueue &Queue, policy::RandomEngine &Random);

  void setEntryHandler(EntryHandler Handler);

  // Applies the entries and pushes the new ones to other nodes, which forward
  // them for the remaining rounds. Returns the number of new entries.
  std::uint32_t apply(std::span<const policy::ConfigEntry> Entries, Source From,
                      std::uint32_t Rounds);

  // Settled is true if a key that is absent from a full read counts as deleted
  // also if it is from before the store was restored from a copy.
  void onStoreResult(store::WatchResult Result, bool Settled);
  // Applies the records that this node read at startup. They are not pushed,
  // because the other nodes have them already.
  void onStartRecords(store::WatchResult Result);
  // From is the calling node, or 0 for an operator's tool.
  void onPush(const wire::PushConfigRequest &Request, policy::NodeId From,
              wire::ControlBody &Response);
  void onExchange(const wire::ExchangeDigestRequest &Request,
                  policy::NodeId From, wire::ControlBody &Response);
  void onFetch(const wire::FetchConfigRequest &Request,
               wire::ControlBody &Response);

  // Starts an exchange with a member whose table differs, at a bounded rate.
  void onDifference(const policy::Member &Other, policy::TimePoint Now);

  // Starts the fetches that are due.
  void tick(policy::TimePoint Now);

  // Returns true while this node knows of a higher revision of the key than the
  // one in its table.
  [[nodiscard]] bool isOutdated(std::string_view Key) const;

  // Safe to read on any thread.
  [[nodiscard]] const ConfigTraffic &traffic() const { return *Traffic; }
  [[nodiscard]] const policy::ConfigTable &table() const { return Table; }
  [[nodiscard]] std::uint64_t exchanges() const { return Repair.Started; }

private:
  using ResponseHandler = std::function<void(const wire::ControlBody *)>;

  void applyStore(store::WatchResult Result, std::uint32_t Rounds,
                  bool Settled);
  // Applies patches of one key, and reports and pushes the result once.
  policy::PatchOutcome
  applyPatches(std::span<const wire::ValuePatch *const> Patches, Source From,
               std::uint32_t Rounds);
  void forward(std::span<const std::string> Keys, Source From,
               std::uint32_t Rounds);
  void push(std::span<const std::string> Keys, Source From,
            std::uint32_t Rounds);
  void addDifference(const wire::ExchangeDigestRequest &Request,
                     wire::ControlBody &Response) const;
  void exchangeRevisions(const policy::Member &Other, std::uint64_t Buckets);
  void onExchangedEntries(const policy::Member &Other,
                          const wire::ControlBody &Response);
  // Sends a call. The handler runs on the control thread, with null if the call
  // failed.
  void send(const policy::Member &Target, wire::ControlBody Body,
            ResponseHandler Handler, policy::Duration Timeout);
  void learn(const wire::KeyRevision &Held, policy::NodeId From,
             std::uint32_t Rounds);
  void startFetches(policy::TimePoint Now);
  void onFetched(const policy::FetchCall &Call,
                 const wire::ControlBody *Response);
  policy::FetchOutcome applyFetched(const policy::FetchCall &Call,
                                    const wire::FetchConfigAnswer &Fetched);
  [[nodiscard]] const policy::Member *liveMember(policy::NodeId Node) const;

  MembershipRunner &Membership;
  ControlClient &Client;
  TaskQueue &Queue;
  policy::RandomEngine &Random;
  EntryHandler OnEntry;
  policy::ConfigTable Table;
  policy::RepairState Repair;
  policy::FetchState Fetches;
  policy::SendPace Pace;
  // Calls in flight count their responses also after this object is gone.
  const std::shared_ptr<ConfigTraffic> Traffic =
      std::make_shared<ConfigTraffic>();
};

} // namespace magnolia::daemon

#endif
