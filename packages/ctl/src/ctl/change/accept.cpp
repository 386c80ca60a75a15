#include "ctl/change/accept.h"

#include "ctl/change/diff.h"
#include "ctl/node/in_effect.h"
#include "ctl/node/push.h"
#include "store/client/put_resolved.h"

#include <string>

namespace magnolia::ctl {
namespace {

using store::StoreErrorKind;

std::string revisionText(store::Revision Revision) {
  return Revision == 0 ? std::string("absent")
                       : "revision " + std::to_string(Revision);
}

// Prints which fields the other writer changed.
void reportConflict(Context &Run, const Change &Wanted,
                    const store::StoreError &Error) {
  store::StoreError ReadError;
  const auto Current =
      Run.Store.Read(Wanted.Key, Run.Options.Timeout, ReadError);
  const store::Revision Seen = Wanted.Before ? Wanted.Before->ModRevision : 0;
  Run.Out.line(Wanted.Key + ": conflict: changed by another writer from " +
               revisionText(Seen) + " to " +
               revisionText(Current ? Current->ModRevision : Error.Current) +
               "; this command wrote nothing over it");
  std::vector<std::string> Lines;
  if (Current || ReadError.Kind == StoreErrorKind::NotFound) {
    Lines = diffFields(Wanted.Before ? Wanted.Before->Value : "",
                       Current ? Current->Value : "");
  }
  for (const std::string &Line : Lines) {
    Run.Out.line("  " + Line);
  }
  Run.Out.line("  check the change, then run the command again");
  addResult(Run, Wanted.Key, "conflict",
            Current ? Current->ModRevision : Error.Current, Lines);
}

} // namespace

bool readKey(Context &Run, const std::string &Key,
             std::optional<store::Entry> &Before) {
  store::StoreError Error;
  Before = Run.Store.Read(Key, Run.Options.Timeout, Error);
  if (!Before && Error.Kind != StoreErrorKind::NotFound) {
    reportStoreError(Run, Error);
    return false;
  }
  return true;
}

ExitCode reportStoreError(Context &Run, const store::StoreError &Error) {
  Run.Out.line("error: " + Error.Detail + " (" +
               std::string(store::toString(Error.Kind)) + ")");
  Run.Out.Document["error"] = Error.Detail;
  Run.Out.Document["error_kind"] = store::toString(Error.Kind);
  if (Error.Kind == StoreErrorKind::Unavailable ||
      Error.Kind == StoreErrorKind::Timeout) {
    Run.Out.line("the configuration in force stays in force while the store "
                 "is unavailable");
  }
  return Error.Kind == StoreErrorKind::OutcomeUnknown ? ExitCode::OutcomeUnknown
                                                      : ExitCode::Failed;
}

ChangeResult accept(Context &Run, const Change &Wanted) {
  const store::PutRequest Request{
      .Key = Wanted.Key,
      .Value = Wanted.Value,
      .Expected = Wanted.Before ? Wanted.Before->ModRevision : 0};
  store::StoreError Error;
  const auto Written = store::putResolved(
      Run.Store, Request, Wanted.OperationId, Run.Options.Timeout, Error);
  if (Written) {
    std::vector<std::string> Lines;
    if (Wanted.Before) {
      Lines = diffFields(Wanted.Before->Value, Wanted.Value);
    }
    Run.Out.line(Wanted.Key + ": accepted at revision " +
                 std::to_string(*Written) + (Wanted.Before ? "" : " (new)"));
    for (const std::string &Line : Lines) {
      Run.Out.line("  " + Line);
    }
    addResult(Run, Wanted.Key, "accepted", *Written, Lines);
    return {ExitCode::Done,
            store::Entry{Wanted.Key, Wanted.Value, *Written, 0}};
  }
  if (Error.Kind == StoreErrorKind::Conflict) {
    if (Wanted.ReportConflict) {
      reportConflict(Run, Wanted, Error);
    }
    return {ExitCode::Conflict, {}};
  }
  const ExitCode Code = reportStoreError(Run, Error);
  addResult(Run, Wanted.Key, toString(Code), 0, {});
  if (Code == ExitCode::OutcomeUnknown) {
    Run.Out.line("run the command again once the store responds; it finds out "
                 "whether the change was accepted");
  }
  return {Code, {}};
}

ExitCode propagate(Context &Run, const std::vector<store::Entry> &Entries) {
  if (Entries.empty()) {
    return ExitCode::Done;
  }
  KeyRevisions Wanted;
  for (const store::Entry &Entry : Entries) {
    Wanted[Entry.Key] = Entry.ModRevision;
  }
  pushEntries(Run, Entries);
  return waitInEffect(Run, Wanted);
}

void addResult(Context &Run, const std::string &Key, std::string_view State,
               store::Revision Revision,
               const std::vector<std::string> &Changes) {
  Run.Out.Document["keys"].push_back({{"key", Key},
                                      {"state", State},
                                      {"revision", Revision},
                                      {"changes", Changes}});
}

} // namespace magnolia::ctl
