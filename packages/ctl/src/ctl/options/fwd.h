#ifndef CTL_OPTIONS_FWD_H
#define CTL_OPTIONS_FWD_H

namespace magnolia::ctl {

struct CtlOptions;

} // namespace magnolia::ctl

#endif
