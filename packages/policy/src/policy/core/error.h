#ifndef POLICY_CORE_ERROR_H
#define POLICY_CORE_ERROR_H

#include "policy/core/error_kind.h"

#include <string>

namespace magnolia::policy {

// Last reason of a failed function: its kind and a sentence for people.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Detail;
};

} // namespace magnolia::policy

#endif
