#ifndef CTL_CORE_FWD_H
#define CTL_CORE_FWD_H

namespace magnolia::ctl {

enum class ExitCode : int;
class Output;
struct Context;

} // namespace magnolia::ctl

#endif
