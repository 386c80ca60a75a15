#ifndef DAEMON_HTTP_FWD_H
#define DAEMON_HTTP_FWD_H

namespace magnolia::daemon {

class HttpReader;
struct HttpHeader;
struct HttpLimits;
struct HttpRequest;
struct HttpResponse;

} // namespace magnolia::daemon

#endif
