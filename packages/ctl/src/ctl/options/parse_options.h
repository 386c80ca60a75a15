#ifndef CTL_OPTIONS_PARSE_OPTIONS_H
#define CTL_OPTIONS_PARSE_OPTIONS_H

#include "ctl/options/ctl_options.h"
#include "policy/core/error.h"

#include <optional>
#include <string_view>
#include <vector>

namespace magnolia::ctl {

// Parses the arguments, the program's name first, and checks that the command
// has the options that it requires. Not thread-safe, because getopt_long is
// not.
[[nodiscard]] std::optional<CtlOptions>
parseOptions(std::vector<std::string> Arguments, policy::Error &LastError);

// Returns the text of --help.
[[nodiscard]] std::string_view usage();

} // namespace magnolia::ctl

#endif
