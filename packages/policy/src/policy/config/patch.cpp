#include "policy/config/patch.h"
#include "policy/core/error.h"
#include "policy/core/types.h"

#include <algorithm>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace magnolia::policy {

namespace {

// Shorter lines are copied only if they follow the previous copy, because a
// step takes about as much as the text.
constexpr std::size_t MinCopyBytes = 8;
constexpr std::size_t PatchHeaderBytes = 48;
constexpr std::size_t StepHeaderBytes = 12;

// Returns the lines with their line ends. The last line may lack one.
std::vector<std::string_view> linesOf(std::string_view Text) {
  std::vector<std::string_view> Lines;
  while (!Text.empty()) {
    const std::size_t End = Text.find('\n');
    const std::size_t Length =
        End == std::string_view::npos ? Text.size() : End + 1;
    Lines.push_back(Text.substr(0, Length));
    Text.remove_prefix(Length);
  }
  return Lines;
}

void addCopy(std::vector<PatchStep> &Steps, std::size_t First,
             std::size_t Count) {
  if (Count == 0) {
    return;
  }
  const auto Line = static_cast<std::uint32_t>(First);
  const auto Lines = static_cast<std::uint32_t>(Count);
  if (!Steps.empty() && Steps.back().Text.empty() &&
      Steps.back().FirstLine + Steps.back().Lines == Line) {
    Steps.back().Lines += Lines;
    return;
  }
  Steps.push_back({.FirstLine = Line, .Lines = Lines, .Text = {}});
}

void addText(std::vector<PatchStep> &Steps, std::string_view Text) {
  if (Steps.empty()) {
    Steps.emplace_back();
  }
  Steps.back().Text += Text;
}

using Lines = std::span<const std::string_view>;

// Adds the steps for the lines of Next in [From, To) from the lines of the base
// in [From, BaseTo).
void addChangedLines(std::vector<PatchStep> &Steps, Lines Base, Lines Next,
                     std::size_t From, std::size_t BaseTo, std::size_t To) {
  std::unordered_map<std::string_view, std::size_t> Positions;
  Positions.reserve(BaseTo - From);
  for (std::size_t I = From; I < BaseTo; ++I) {
    Positions.emplace(Base[I], I);
  }
  std::size_t Following = From;
  for (std::size_t I = From; I < To; ++I) {
    if (Following < BaseTo && Base[Following] == Next[I]) {
      addCopy(Steps, Following++, 1);
      continue;
    }
    const auto Found = Positions.find(Next[I]);
    if (Found == Positions.end() || Next[I].size() < MinCopyBytes) {
      addText(Steps, Next[I]);
      continue;
    }
    addCopy(Steps, Found->second, 1);
    Following = Found->second + 1;
  }
}

std::optional<std::string> misfit(Error &LastError, std::string Reason) {
  LastError = {ErrorKind::BadRequest, std::move(Reason)};
  return std::nullopt;
}

} // namespace

ValuePatch makePatch(const ConfigEntry &Base, const ConfigEntry &Next) {
  ValuePatch Patch = {.Key = Next.Key,
                      .BaseRevision = Base.Revision,
                      .Revision = Next.Revision,
                      .Bytes = Next.Value.size(),
                      .Digest = hashOf(Next.Value),
                      .Steps = {}};
  const std::vector<std::string_view> Old = linesOf(Base.Value);
  const std::vector<std::string_view> New = linesOf(Next.Value);
  const std::size_t Shorter = std::min(Old.size(), New.size());
  std::size_t Prefix = 0;
  while (Prefix < Shorter && Old[Prefix] == New[Prefix]) {
    ++Prefix;
  }
  std::size_t Suffix = 0;
  while (Suffix < Shorter - Prefix &&
         Old[Old.size() - 1 - Suffix] == New[New.size() - 1 - Suffix]) {
    ++Suffix;
  }
  addCopy(Patch.Steps, 0, Prefix);
  addChangedLines(Patch.Steps, Old, New, Prefix, Old.size() - Suffix,
                  New.size() - Suffix);
  addCopy(Patch.Steps, Old.size() - Suffix, Suffix);
  return Patch;
}

std::optional<std::string>
applyPatch(std::string_view Base, const ValuePatch &Patch, Error &LastError) {
  std::vector<std::size_t> Starts = {0};
  for (const std::string_view Line : linesOf(Base)) {
    Starts.push_back(Starts.back() + Line.size());
  }
  std::string Result;
  Result.reserve(std::min(Patch.Bytes, Base.size() + bytesOf(Patch)));
  for (const PatchStep &Step : Patch.Steps) {
    const std::size_t End = std::size_t{Step.FirstLine} + Step.Lines;
    if (End >= Starts.size()) {
      return misfit(LastError, "the base lacks lines of the patch");
    }
    const std::size_t First = Starts[Step.FirstLine];
    const std::string_view Copied = Base.substr(First, Starts[End] - First);
    if (Result.size() + Copied.size() + Step.Text.size() > Patch.Bytes) {
      return misfit(LastError, "the result is longer than the patch says");
    }
    Result += Copied;
    Result += Step.Text;
  }
  if (Result.size() != Patch.Bytes || hashOf(Result) != Patch.Digest) {
    return misfit(LastError, "the result differs from the digest of the patch");
  }
  return Result;
}

std::size_t bytesOf(const ValuePatch &Patch) {
  std::size_t Bytes = PatchHeaderBytes + Patch.Key.size();
  for (const PatchStep &Step : Patch.Steps) {
    Bytes += StepHeaderBytes + Step.Text.size();
  }
  return Bytes;
}

} // namespace magnolia::policy
