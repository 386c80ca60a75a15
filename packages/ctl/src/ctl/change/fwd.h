#ifndef CTL_CHANGE_FWD_H
#define CTL_CHANGE_FWD_H

namespace magnolia::ctl {

struct Change;
struct ChangeResult;

} // namespace magnolia::ctl

#endif
