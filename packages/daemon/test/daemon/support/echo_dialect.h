#ifndef DAEMON_TEST_SUPPORT_ECHO_DIALECT_H
#define DAEMON_TEST_SUPPORT_ECHO_DIALECT_H

#include "daemon/dialect/dialect.h"

namespace magnolia::daemon::test {

// Dialect whose backend servers echo the caller's request id in every response
// and drop a request when its connection closes.
inline const Dialect &echoDialect() {
  static const Dialect Made = [] {
    Dialect Changed = nativeDialect();
    Changed.Headers = {.RequestId = "Request-Id",
                       .Deadline = "Deadline-Ms",
                       .ExpectedInstance = "Expected-Instance",
                       .NotRun = "Not-Executed"};
    Changed.KeepsRequestId = true;
    Changed.EchoesRequestId = true;
    Changed.PromisesByStatus = true;
    Changed.DropsOnClose = true;
    Changed.ReadHealth = [](const HttpResponse &Response) {
      constexpr std::uint16_t Ok = 200;
      return std::optional(BackendHealth{.Healthy = Response.Status == Ok});
    };
    return Changed;
  }();
  return Made;
}

} // namespace magnolia::daemon::test

#endif
