#ifndef CTL_OPTIONS_PARSE_OPTIONS_H
#define CTL_OPTIONS_PARSE_OPTIONS_H

#include "ctl/options/ctl_options.h"
#include "policy/core/error.h"

#include <optional>
#include <string_view>
#include <vector>

namespace magnolia::ctl {

// Reads the arguments, the program's name first, and checks that the command
// has what it needs. Not for concurrent use, because getopt_long is not.
[[nodiscard]] std::optional<CtlOptions>
parseOptions(std::vector<std::string> Arguments, policy::Error &LastError);

// Text of --help.
[[nodiscard]] std::string_view usage();

} // namespace magnolia::ctl

#endif
