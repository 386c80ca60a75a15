#include "ctl/node/push.h"

#include "policy/config/push_options.h"
#include "wire/seal/control_seal.h"

#include <algorithm>

namespace magnolia::ctl {
namespace {

// Keeps the values of a message well below the limit of an authenticated body.
constexpr std::size_t MaxBatchBytes = wire::MaxSealedBody / 2;

std::vector<wire::ControlBody>
batchesOf(const std::vector<store::Entry> &Entries) {
  std::vector<wire::ControlBody> Batches;
  std::size_t Bytes = MaxBatchBytes;
  for (const store::Entry &Entry : Entries) {
    const std::size_t Size = Entry.Key.size() + Entry.Value.size();
    if (Bytes + Size > MaxBatchBytes) {
      Batches.emplace_back().set_method("push_config");
      Batches.back().mutable_push_config()->set_rounds(policy::PushRounds);
      Bytes = 0;
    }
    Bytes += Size;
    auto *Added = Batches.back().mutable_push_config()->add_entries();
    Added->set_key(Entry.Key);
    Added->set_revision(Entry.ModRevision);
    Added->set_value(Entry.Value);
  }
  return Batches;
}

} // namespace

std::size_t pushEntries(Context &Run,
                        const std::vector<store::Entry> &Entries) {
  const auto Batches = batchesOf(Entries);
  std::size_t Accepted = 0;
  for (const settings::HostPort &Node : Run.Options.Nodes) {
    policy::Error LastError;
    const bool All = std::all_of(
        Batches.begin(), Batches.end(), [&](const wire::ControlBody &Batch) {
          const auto Response =
              Run.CallNode(Node, Batch, Run.Options.Timeout, LastError);
          return Response && Response->has_push_config_answer();
        });
    if (All) {
      ++Accepted;
    } else {
      Run.Out.line("warning: node " + toString(Node) +
                   " did not accept the change: " + LastError.Detail);
    }
  }
  return Accepted;
}

} // namespace magnolia::ctl
