#ifndef CTL_CHANGE_ACCEPT_H
#define CTL_CHANGE_ACCEPT_H

#include "ctl/change/change.h"
#include "ctl/change/change_result.h"
#include "ctl/core/context.h"
#include "store/core/store_error.h"

#include <vector>

namespace magnolia::ctl {

// Writes the change by compare-and-swap and prints the outcome. After a
// conflict it also prints the fields that the other writer changed.
ChangeResult accept(Context &Run, const Change &Wanted);

// Reads a key. Before stays empty if the key does not exist. Prints a message
// and returns false if the store cannot be read.
bool readKey(Context &Run, const std::string &Key,
             std::optional<store::Entry> &Before);

// Prints an error of the store and returns its exit code.
ExitCode reportStoreError(Context &Run, const store::StoreError &Error);

// Pushes accepted entries to the nodes and waits until they are in effect.
ExitCode propagate(Context &Run, const std::vector<store::Entry> &Entries);

// Adds one key to the JSON output.
void addResult(Context &Run, const std::string &Key, std::string_view State,
               store::Revision Revision,
               const std::vector<std::string> &Changes);

} // namespace magnolia::ctl

#endif
