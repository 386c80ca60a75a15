#ifndef POLICY_CHAIN_CHAIN_CONTEXT_H
#define POLICY_CHAIN_CHAIN_CONTEXT_H

#include "policy/core/request_id.h"

#include <optional>
#include <string>

namespace magnolia::policy {

// Data that a request carries from service to service along its call chain.
struct ChainContext {
  // Time left until the deadline; headers carry it in whole milliseconds.
  std::optional<Duration> Remaining;
  // Hops so far; 0 for a request from an external client.
  std::uint32_t Hops = 0;
  bool RetriesExhausted = false;
  std::optional<RequestId> Id;
  // Empty if there is none.
  std::string IdempotencyKey;

  bool operator==(const ChainContext &) const = default;
};

// Name and value of one header.
struct ChainHeader {
  std::string Name;
  std::string Value;

  bool operator==(const ChainHeader &) const = default;
};

} // namespace magnolia::policy

#endif
