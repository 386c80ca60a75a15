#ifndef POLICY_CONFIG_PATCH_OUTCOME_H
#define POLICY_CONFIG_PATCH_OUTCOME_H

namespace magnolia::policy {

// Result of applying a patch to a table.
enum class PatchOutcome {
  // The table changed.
  Applied,
  // The table holds the resulting revision or a later one.
  Known,
  // The table holds another revision than the base of the patch.
  OtherBase,
  // The base has the right revision, but the result is not the one that the
  // patch describes, or it is over a limit.
  Misfit,
};

} // namespace magnolia::policy

#endif
