#ifndef POLICY_CORE_ERROR_KIND_H
#define POLICY_CORE_ERROR_KIND_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace magnolia::policy {

// The closed list of errors that the system answers with.
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
};

inline constexpr std::size_t ErrorKindCount =
    static_cast<std::size_t>(ErrorKind::SlowInstance) + 1;

// Whether the request of an error answer ran on a backend server.
enum class RunOutcome : std::uint8_t { No, Unknown, Yes };

// Row of the table from error kind to answer.
struct ErrorEntry {
  ErrorKind Kind;
  std::uint16_t Status;
  RunOutcome Run;
  // True where another backend server may be tried for any request.
  bool Retryable;
  std::string_view Name;
  // What the kind means, for operators.
  std::string_view Meaning;
};

// The whole table in the order of the enumerators.
[[nodiscard]] const std::array<ErrorEntry, ErrorKindCount> &errorTable();

[[nodiscard]] const ErrorEntry &errorEntry(ErrorKind Kind);

// Kind with the name as sent in the Magnolia-Error header.
[[nodiscard]] std::optional<ErrorKind> errorKindOf(std::string_view Name);

// Text of the Magnolia-Run header: no, unknown or yes.
[[nodiscard]] std::string_view toString(RunOutcome Run);

} // namespace magnolia::policy

#endif
