#include "store/core/store_error.h"

namespace magnolia::store {

std::string_view toString(StoreErrorKind Kind) {
  switch (Kind) {
  case StoreErrorKind::Unavailable:
    return "unavailable";
  case StoreErrorKind::Timeout:
    return "timeout";
  case StoreErrorKind::Conflict:
    return "conflict";
  case StoreErrorKind::NotFound:
    return "not found";
  case StoreErrorKind::LeaseExpired:
    return "lease expired";
  case StoreErrorKind::TooLarge:
    return "too large";
  case StoreErrorKind::Malformed:
    return "malformed";
  case StoreErrorKind::OutcomeUnknown:
    return "outcome unknown";
  }
  return "unknown";
}

} // namespace magnolia::store
