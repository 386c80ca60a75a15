#ifndef POLICY_CORE_ERROR_H
#define POLICY_CORE_ERROR_H

#include "policy/core/error_kind.h"

#include <string>

namespace magnolia::policy {

// Reason for a failure: its kind and a human-readable sentence.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Detail;
};

} // namespace magnolia::policy

#endif
