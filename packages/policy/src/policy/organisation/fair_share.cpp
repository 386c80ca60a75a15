#include "policy/organisation/fair_share.h"

#include "policy/core/types.h"

#include <algorithm>

namespace magnolia::policy {
namespace {

// Weight of one request in the part that is served.
constexpr double ServedWeight = 1.0 / 64;
// Bounds the burst of an organisation that was behind for long.
constexpr double MaxCredit = 2;
constexpr double MaxDebt = -1;

// Returns the first entry that is not before that of the organisation.
std::size_t placeOf(const FairShare &Shares, std::uint64_t Organisation) {
  const auto Found = std::lower_bound(
      Shares.Credits.begin(), Shares.Credits.end(), Organisation,
      [](const FairShare::Credit &Entry, std::uint64_t Wanted) {
        return Entry.Organisation < Wanted;
      });
  return static_cast<std::size_t>(Found - Shares.Credits.begin());
}

bool isAt(const FairShare &Shares, std::size_t Place,
          std::uint64_t Organisation) {
  return Place < Shares.Credits.size() &&
         Shares.Credits[Place].Organisation == Organisation;
}

double creditOf(const FairShare &Shares, std::uint64_t Organisation) {
  const std::size_t Place = placeOf(Shares, Organisation);
  return isAt(Shares, Place, Organisation) ? Shares.Credits[Place].Value : 0;
}

double quota(const FairShare &Shares) {
  return Shares.Share * Shares.ServedPart;
}

void setCredit(FairShare &Shares, std::uint64_t Organisation, double Value) {
  const std::size_t Place = placeOf(Shares, Organisation);
  const auto Entry =
      Shares.Credits.begin() + static_cast<std::ptrdiff_t>(Place);
  if (isAt(Shares, Place, Organisation)) {
    if (Value == 0) {
      Shares.Credits.erase(Entry);
    } else {
      Entry->Value = Value;
    }
  } else if (Value != 0 && Shares.Credits.size() < MaxOrganisations) {
    Shares.Credits.insert(Entry,
                          {.Organisation = Organisation, .Value = Value});
  } else if (Value != 0) {
    ++Shares.Refused;
  }
}

// Returns the next number from 0 to 1 of a sequence that depends on the seed
// (SplitMix64).
double draw(FairShare &Shares) {
  std::uint64_t Bits = Shares.Seed + ++Shares.Draws * 0x9E3779B97F4A7C15;
  Bits = (Bits ^ (Bits >> 30)) * 0xBF58476D1CE4E5B9;
  Bits = (Bits ^ (Bits >> 27)) * 0x94D049BB133111EB;
  Bits ^= Bits >> 31;
  constexpr int Unused = 11;
  constexpr double Range = 1ULL << 53;
  return static_cast<double>(Bits >> Unused) / Range;
}

} // namespace

void recordShare(FairShare &Shares, std::string_view Organisation,
                 ShareOutcome Outcome) {
  if (Organisation.empty() || Shares.Share <= 0) {
    return;
  }
  const bool Served = Outcome != ShareOutcome::Unserved;
  Shares.ServedPart +=
      ServedWeight * ((Served ? 1.0 : 0.0) - Shares.ServedPart);
  const double Before = creditOf(Shares, hashOf(Organisation));
  const double Next = Before + quota(Shares) - (Served ? 1 : 0);
  double Lowest = Outcome == ShareOutcome::ServedFirst ? MaxDebt : 0;
  // A slot that was free anyway neither adds a debt nor pays one off.
  Lowest = std::max(MaxDebt, std::min(Lowest, Before));
  setCredit(Shares, hashOf(Organisation), std::clamp(Next, Lowest, MaxCredit));
}

double firstProbability(const FairShare &Shares,
                        std::string_view Organisation) {
  if (Organisation.empty() || Shares.Share <= 0) {
    return 0;
  }
  return std::clamp(creditOf(Shares, hashOf(Organisation)) + quota(Shares), 0.0,
                    1.0);
}

bool goesFirst(FairShare &Shares, std::string_view Organisation) {
  if (Organisation.empty() || Shares.Share <= 0) {
    return false;
  }
  return draw(Shares) < firstProbability(Shares, Organisation);
}

} // namespace magnolia::policy
