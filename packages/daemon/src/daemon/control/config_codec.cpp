#include "daemon/control/config_codec.h"

#include "policy/config/patch.h"

#include <wire/control.pb.h>

namespace magnolia::daemon {

wire::ConfigEntry toWire(const policy::ConfigEntry &Entry) {
  wire::ConfigEntry Result;
  Result.set_key(Entry.Key);
  Result.set_revision(Entry.Revision);
  Result.set_value(Entry.Value);
  Result.set_tombstone(Entry.Tombstone);
  return Result;
}

wire::KeyRevision toWire(const policy::KeyRevision &Held) {
  wire::KeyRevision Result;
  Result.set_key(Held.Key);
  Result.set_revision(Held.Revision);
  Result.set_bytes(Held.Bytes);
  return Result;
}

wire::ValuePatch toWire(const policy::ValuePatch &Patch) {
  wire::ValuePatch Result;
  Result.set_key(Patch.Key);
  Result.set_base_revision(Patch.BaseRevision);
  Result.set_revision(Patch.Revision);
  Result.set_bytes(Patch.Bytes);
  Result.set_digest(Patch.Digest);
  for (const policy::PatchStep &Step : Patch.Steps) {
    wire::PatchStep &Added = *Result.add_steps();
    Added.set_first_line(Step.FirstLine);
    Added.set_lines(Step.Lines);
    Added.set_text(Step.Text);
  }
  return Result;
}

policy::ConfigEntry fromWire(const wire::ConfigEntry &Entry) {
  return {.Key = Entry.key(),
          .Revision = Entry.revision(),
          .Value = Entry.value(),
          .Tombstone = Entry.tombstone()};
}

policy::KeyRevision fromWire(const wire::KeyRevision &Held) {
  return {
      .Key = Held.key(), .Revision = Held.revision(), .Bytes = Held.bytes()};
}

std::optional<policy::ValuePatch> fromWire(const wire::ValuePatch &Patch) {
  if (static_cast<std::size_t>(Patch.steps_size()) > policy::PatchMaxSteps) {
    return std::nullopt;
  }
  policy::ValuePatch Result = {.Key = Patch.key(),
                               .BaseRevision = Patch.base_revision(),
                               .Revision = Patch.revision(),
                               .Bytes = Patch.bytes(),
                               .Digest = Patch.digest(),
                               .Steps = {}};
  for (const wire::PatchStep &Step : Patch.steps()) {
    Result.Steps.push_back({.FirstLine = Step.first_line(),
                            .Lines = Step.lines(),
                            .Text = Step.text()});
  }
  return Result;
}

} // namespace magnolia::daemon
