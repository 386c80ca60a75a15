#ifndef DAEMON_CONTROL_CONFIG_RUNNER_H
#define DAEMON_CONTROL_CONFIG_RUNNER_H

#include "daemon/control/fwd.h"
#include "policy/config/config_table.h"
#include "policy/core/types.h"
#include "policy/fleet/repair_state.h"
#include "policy/membership/member.h"
#include "store/core/watch_result.h"

#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace magnolia::wire {
class ControlBody;
class ExchangeDigestRequest;
class PushConfigRequest;
} // namespace magnolia::wire

namespace magnolia::daemon {

class MembershipRunner;

// Maintains the configuration table of this node: applies entries from the
// store, from operators and from other nodes, pushes new entries to other nodes
// and reconciles differences. Used by the control thread only.
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
  void onPush(const wire::PushConfigRequest &Request,
              wire::ControlBody &Response);
  void onExchange(const wire::ExchangeDigestRequest &Request,
                  wire::ControlBody &Response);

  // Starts an exchange with a member whose table differs, at a bounded rate.
  void onDifference(const policy::Member &Other, policy::TimePoint Now);

  [[nodiscard]] const policy::ConfigTable &table() const { return Table; }
  [[nodiscard]] std::uint64_t exchanges() const { return Repair.Started; }

private:
  void applyStore(store::WatchResult Result, std::uint32_t Rounds,
                  bool Settled);
  void push(std::span<const policy::ConfigEntry> Entries, Source From,
            std::uint32_t Rounds);
  void exchangeRevisions(const policy::Member &Other, std::uint64_t Buckets);
  void onExchangedEntries(const policy::Member &Other,
                          const wire::ControlBody &Response);

  MembershipRunner &Membership;
  ControlClient &Client;
  TaskQueue &Queue;
  policy::RandomEngine &Random;
  EntryHandler OnEntry;
  policy::ConfigTable Table;
  policy::RepairState Repair;
};

} // namespace magnolia::daemon

#endif
