#include "policy/core/error_kind.h"

#include <algorithm>

namespace magnolia::policy {

namespace {

constexpr auto No = RunOutcome::No;
constexpr auto Unknown = RunOutcome::Unknown;
constexpr auto Yes = RunOutcome::Yes;

constexpr std::array<ErrorEntry, ErrorKindCount> Table = {{
    {ErrorKind::BadRequest, 400, No, false, "BadRequest",
     "The request is malformed."},
    {ErrorKind::UnknownService, 404, No, false, "UnknownService",
     "No service of this name is configured."},
    {ErrorKind::TooManyHops, 508, No, false, "TooManyHops",
     "The call chain is deeper than allowed; it may be a loop."},
    {ErrorKind::DeadlineExceededNotRun, 504, No, false,
     "DeadlineExceededNotRun", "The deadline passed before the request ran."},
    {ErrorKind::DeadlineExceededUnknown, 504, Unknown, false,
     "DeadlineExceededUnknown",
     "The deadline passed after the request was sent."},
    {ErrorKind::Overloaded, 503, No, true, "Overloaded",
     "The backend server or the whole service has no free slot."},
    {ErrorKind::ColdStart, 503, No, true, "ColdStart",
     "The backend server is starting and accepts only a few requests."},
    {ErrorKind::Draining, 503, No, true, "Draining",
     "The backend server is leaving."},
    {ErrorKind::ZoneOut, 503, No, true, "ZoneOut",
     "The availability zone is out of service."},
    {ErrorKind::NoBackendServer, 503, No, true, "NoBackendServer",
     "No backend server of the service is eligible."},
    {ErrorKind::Fenced, 503, No, true, "Fenced",
     "The entry node cancelled the request before it ran."},
    {ErrorKind::DuplicateRequest, 409, Yes, false, "DuplicateRequest",
     "A request with the same id or idempotency key is running or has already "
     "run."},
    {ErrorKind::BodyTooLarge, 413, No, false, "BodyTooLarge",
     "The request body exceeds the limit."},
    {ErrorKind::AnswerTooLarge, 502, Yes, false, "AnswerTooLarge",
     "The response body exceeds the limit."},
    {ErrorKind::BackendConnectFailed, 502, No, true, "BackendConnectFailed",
     "The backend server refused the connection."},
    {ErrorKind::BackendBrokenAnswer, 502, Unknown, false, "BackendBrokenAnswer",
     "The response of the backend server is incomplete or malformed."},
    {ErrorKind::OutcomeUnknown, 502, Unknown, false, "OutcomeUnknown",
     "The request was sent and its outcome is not known."},
    {ErrorKind::Cancelled, 499, Unknown, false, "Cancelled",
     "The caller went away."},
    {ErrorKind::StaleIncarnation, 503, No, true, "StaleIncarnation",
     "The request names an earlier incarnation of the sidecar."},
    {ErrorKind::Shutdown, 503, No, true, "Shutdown", "The node is stopping."},
    {ErrorKind::LedgerFull, 503, No, true, "LedgerFull",
     "The ledger of requests that may run at most once is full."},
    {ErrorKind::Internal, 500, Unknown, false, "Internal", "Internal error."},
    {ErrorKind::SlowInstance, 503, No, true, "SlowInstance",
     "The instance is currently slow; another backend server may respond "
     "sooner."},
    {ErrorKind::ConfigurationOutdated, 503, No, true, "ConfigurationOutdated",
     "No route or key matches, but the node does not have the newest routing "
     "table."},
    {ErrorKind::Unauthorized, 401, No, false, "Unauthorized",
     "The request carries no valid key of an organisation."},
}};

constexpr bool inOrder() {
  for (std::size_t I = 0; I < Table.size(); ++I) {
    if (static_cast<std::size_t>(Table[I].Kind) != I) {
      return false;
    }
  }
  return true;
}
static_assert(inOrder(), "the table is indexed by kind");

} // namespace

const std::array<ErrorEntry, ErrorKindCount> &errorTable() { return Table; }

const ErrorEntry &errorEntry(ErrorKind Kind) {
  return Table[static_cast<std::size_t>(Kind)];
}

std::optional<ErrorKind> errorKindOf(std::string_view Name) {
  const auto Found =
      std::find_if(Table.begin(), Table.end(), [Name](const ErrorEntry &Entry) {
        return Entry.Name == Name;
      });
  if (Found == Table.end()) {
    return std::nullopt;
  }
  return Found->Kind;
}

std::string_view toString(RunOutcome Run) {
  switch (Run) {
  case RunOutcome::No:
    return "no";
  case RunOutcome::Unknown:
    return "unknown";
  case RunOutcome::Yes:
    return "yes";
  }
  return "unknown";
}

} // namespace magnolia::policy
