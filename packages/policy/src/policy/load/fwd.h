#ifndef POLICY_LOAD_FWD_H
#define POLICY_LOAD_FWD_H

namespace magnolia::policy {

struct LoadReport;

} // namespace magnolia::policy

#endif
