#ifndef POLICY_LEDGER_FWD_H
#define POLICY_LEDGER_FWD_H

#include <cstdint>

namespace magnolia::policy {

enum class FenceDecision : std::uint8_t;
enum class KeyDecision : std::uint8_t;
enum class LedgerDecision : std::uint8_t;
enum class RunState : std::uint8_t;
struct LedgerOptions;
struct RunLedger;

} // namespace magnolia::policy

#endif
