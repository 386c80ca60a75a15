#ifndef POLICY_ORGANISATION_FAIR_SHARE_H
#define POLICY_ORGANISATION_FAIR_SHARE_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace magnolia::policy {

// Shares of the organisations in the slots of one backend server. Each request
// that asks for a slot gives its organisation a quota of Share times the part
// of all requests that get one. When slots are scarce, a request goes before
// the others that have no parent with the probability of quota and credit. A
// slot costs a whole credit; one that the request got by going first may leave
// a debt. So each organisation is served at least Share times as often as all
// of them, even one that sends each server only a few requests.
struct FairShare {
  struct Credit {
    // Hash of the name.
    std::uint64_t Organisation = 0;
    // Debt if negative.
    double Value = 0;
  };

  // Above the quarter that each organisation is to get, because a request that
  // goes first may still be rejected. 0 disables the shares.
  double Share = 0.35;
  // Part of the recent requests that got a slot.
  double ServedPart = 1;
  // In the order of the organisations, without those that have none; at most
  // MaxOrganisations.
  std::vector<Credit> Credits;
  // Number of credits that had no room in the table.
  std::uint64_t Refused = 0;
  // Differs between servers, so that they do not let the same requests go
  // first.
  std::uint64_t Seed = 0;
  std::uint64_t Draws = 0;
};

// Further organisations get their quota, but no credit.
inline constexpr std::size_t MaxOrganisations = 1024;

// How a request for a slot ended.
enum class ShareOutcome : std::uint8_t { Unserved, Served, ServedFirst };

// Does nothing for a request without an organisation.
void recordShare(FairShare &Shares, std::string_view Organisation,
                 ShareOutcome Outcome);

// Probability that a request that finds no free slot goes first.
[[nodiscard]] double firstProbability(const FairShare &Shares,
                                      std::string_view Organisation);

// Decides whether a request that finds no free slot goes first.
[[nodiscard]] bool goesFirst(FairShare &Shares, std::string_view Organisation);

} // namespace magnolia::policy

#endif
