#ifndef DAEMON_USAGE_FWD_H
#define DAEMON_USAGE_FWD_H

namespace magnolia::daemon {

class ReportSender;
class RunCounter;
class UsageRunner;
struct ReportResult;
struct UsageSetup;

} // namespace magnolia::daemon

#endif
