#include "ctl/change/accept.h"
#include "ctl/command/internal/commands.h"
#include "ctl/command/internal/plan_rollout.h"
#include "settings/record/format_record.h"
#include "settings/record/parse_record.h"
#include "settings/record/record_key.h"
#include "settings/service/load_service_files.h"

#include <map>
#include <utility>

namespace magnolia::ctl::internal {
namespace {

using EntryMap = std::map<std::string, store::Entry, std::less<>>;

// State of one publication.
struct Publication {
  std::vector<settings::ServiceFile> Files;
  EntryMap Stored;
  // Entries of the files that are in the store after the publication.
  std::vector<store::Entry> Accepted;
  ExitCode Code = ExitCode::Done;
};

bool load(Context &Run, std::vector<settings::ServiceFile> &Files) {
  settings::LoadedServices Loaded =
      settings::loadServiceFiles(Run.Options.Arguments);
  for (const std::string &Fault : Loaded.Faults) {
    Run.Out.line("error: " + Fault);
  }
  Run.Out.Document["faults"] = Loaded.Faults;
  Run.Out.Document["files"] = Loaded.Files.size();
  Files = std::move(Loaded.Files);
  return Loaded.Faults.empty();
}

bool readPrefix(Context &Run, std::string_view Prefix, EntryMap &To) {
  store::StoreError Error;
  auto Found = Run.Store.Range(Prefix, Run.Options.Timeout, Error);
  if (!Found) {
    reportStoreError(Run, Error);
    return false;
  }
  for (store::Entry &Entry : Found->Entries) {
    To.insert_or_assign(Entry.Key, std::move(Entry));
  }
  return true;
}

std::optional<store::Entry> find(const EntryMap &Stored,
                                 const std::string &Key) {
  const auto Found = Stored.find(Key);
  return Found == Stored.end() ? std::nullopt : std::optional(Found->second);
}

// Returns true if the publication continues with the next key. A conflict
// concerns one key only; other errors of the store concern all keys.
bool write(Context &Run, Publication &Work, const Change &Wanted) {
  const ChangeResult Result = accept(Run, Wanted);
  Work.Code = worse(Work.Code, Result.Code);
  if (Result.Accepted) {
    Work.Accepted.push_back(*Result.Accepted);
  }
  return Result.Code == ExitCode::Done || Result.Code == ExitCode::Conflict;
}

bool publishService(Context &Run, Publication &Work,
                    const settings::ServiceFile &File) {
  settings::ServiceRecord Service = File.Service;
  const std::string Key = settings::serviceKey(Service.Service);
  const auto Before = find(Work.Stored, Key);
  if (Before) {
    policy::Error Ignored;
    auto Old = settings::parseService(Before->Value, Ignored);
    if (Old) {
      Service.OperationId = Old->OperationId;
    }
    if (Old == Service) {
      Run.Out.line(Key + ": unchanged at revision " +
                   std::to_string(Before->ModRevision));
      addResult(Run, Key, "unchanged", Before->ModRevision, {});
      Work.Accepted.push_back(*Before);
      return true;
    }
  }
  Service.OperationId = Run.NewOperationId();
  return write(
      Run, Work,
      {Key, Before, settings::formatService(Service), Service.OperationId});
}

bool publishRollout(Context &Run, Publication &Work,
                    const settings::ServiceFile &File) {
  const std::string Key = settings::rolloutKey(File.Service.Service);
  const auto Existing = find(Work.Stored, Key);
  const RolloutDecision Decision =
      planRollout(Run, File.Service.Service, *File.Rollout, Existing, true);
  if (Decision.Start) {
    return write(Run, Work, *Decision.Start);
  }
  Run.Out.line(Key + ": not started: " + Decision.Reason);
  addResult(Run, Key, "not_started", Existing ? Existing->ModRevision : 0,
            {Decision.Reason});
  Work.Code = worse(Work.Code, Decision.Code);
  if (Existing) {
    Work.Accepted.push_back(*Existing);
  }
  return true;
}

// Publishes the services first, so that a rollout finds the settings of its
// service.
void publishAll(Context &Run, Publication &Work) {
  for (const settings::ServiceFile &File : Work.Files) {
    if (!publishService(Run, Work, File)) {
      return;
    }
  }
  for (const settings::ServiceFile &File : Work.Files) {
    if (File.Rollout && !publishRollout(Run, Work, File)) {
      return;
    }
  }
}

} // namespace

ExitCode validate(Context &Run) {
  std::vector<settings::ServiceFile> Files;
  if (!load(Run, Files)) {
    return ExitCode::Failed;
  }
  Run.Out.line(std::to_string(Files.size()) + " service files are valid");
  return ExitCode::Done;
}

ExitCode publish(Context &Run) {
  Publication Work;
  if (!load(Run, Work.Files)) {
    Run.Out.line("nothing was published");
    return ExitCode::Failed;
  }
  if (!readPrefix(Run, settings::ServicePrefix, Work.Stored) ||
      !readPrefix(Run, settings::RolloutRecordPrefix, Work.Stored)) {
    Run.Out.line("nothing was published");
    return ExitCode::Failed;
  }
  publishAll(Run, Work);
  return worse(Work.Code, propagate(Run, Work.Accepted));
}

} // namespace magnolia::ctl::internal
