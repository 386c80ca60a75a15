#ifndef POLICY_CORE_ERROR_KIND_H
#define POLICY_CORE_ERROR_KIND_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace magnolia::policy {

// Closed list of the errors with which the system responds.
enum class ErrorKind : std::uint8_t {
  BadRequest,
  UnknownService,
  TooManyHops,
  DeadlineExceededNotRun,
  DeadlineExceededUnknown,
  Overloaded,
  ColdStart,
  Draining,
  ZoneOut,
  NoBackendServer,
  Fenced,
  DuplicateRequest,
  BodyTooLarge,
  AnswerTooLarge,
  BackendConnectFailed,
  BackendBrokenAnswer,
  OutcomeUnknown,
  Cancelled,
  StaleIncarnation,
  Shutdown,
  LedgerFull,
  Internal,
  SlowInstance,
  ConfigurationOutdated,
  Unauthorized,
};

inline constexpr std::size_t ErrorKindCount =
    static_cast<std::size_t>(ErrorKind::Unauthorized) + 1;

// Whether the request ran on a backend server before the error response.
enum class RunOutcome : std::uint8_t { No, Unknown, Yes };

// Row of the table that maps error kinds to responses.
struct ErrorEntry {
  ErrorKind Kind;
  std::uint16_t Status;
  RunOutcome Run;
  // True if any request may be retried on another backend server.
  bool Retryable;
  std::string_view Name;
  // Meaning of the kind, for operators.
  std::string_view Meaning;
};

// Returns the whole table in the order of the enumerators.
[[nodiscard]] const std::array<ErrorEntry, ErrorKindCount> &errorTable();

[[nodiscard]] const ErrorEntry &errorEntry(ErrorKind Kind);

// Returns the kind with this name, as sent in the Magnolia-Error header.
[[nodiscard]] std::optional<ErrorKind> errorKindOf(std::string_view Name);

// Returns the value of the Magnolia-Run header: no, unknown or yes.
[[nodiscard]] std::string_view toString(RunOutcome Run);

} // namespace magnolia::policy

#endif
