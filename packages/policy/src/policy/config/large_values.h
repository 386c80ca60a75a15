#ifndef POLICY_CONFIG_LARGE_VALUES_H
#define POLICY_CONFIG_LARGE_VALUES_H

namespace magnolia::policy {

// How an exchange transfers large values.
enum class LargeValues {
  // Whole, to a node that cannot fetch.
  Inline,
  // As key and revision.
  Announced,
};

} // namespace magnolia::policy

#endif
