#ifndef DAEMON_TEST_SUPPORT_SIDECAR_FIXTURE_H
#define DAEMON_TEST_SUPPORT_SIDECAR_FIXTURE_H

#include "scripted_backend.h"

#include "daemon/sidecar/sidecar_call.h"

#include <gtest/gtest.h>

#include <memory>
#include <utility>

namespace magnolia::daemon::test {

inline constexpr SidecarOptions SmallLimits{
    .Run = 5,
    .ResponseLimits = {.HeadBytes = 4096, .BodyBytes = 64},
    .ConnectTimeout = std::chrono::seconds(5),
    .MaxWaiting = 4,
    .LedgerEntries = 4096};

inline SidecarOptions withDialect(const Dialect *Speaks) {
  SidecarOptions Changed = SmallLimits;
  Changed.Speaks = Speaks;
  return Changed;
}

// A sidecar in front of a scripted backend server.
struct SidecarFixture : testing::Test {
  explicit SidecarFixture(const Dialect *Speaks = nullptr)
      : Own(withDialect(Speaks), Backend, Counts) {}

  void startBackend(ScriptedBackend::Script Script) {
    Scripted = std::make_unique<ScriptedBackend>(std::move(Script));
    attach(Scripted->port());
  }

  void attach(std::uint16_t Port) {
    const LocalBackendState State{.Service = "stock",
                                  .Version = "1",
                                  .Address = "127.0.0.1",
                                  .Port = Port,
                                  .Slots = 1,
                                  .Present = true};
    Backend.update(State);
    Own.apply(State, now());
  }

  CallRequest request(const char *Method = "GET") {
    CallRequest NewRequest;
    NewRequest.Id = {.Origin = 1, .Run = 1, .Sequence = ++Sequence};
    NewRequest.Service = "stock";
    NewRequest.Method = Method;
    NewRequest.Target = "/a";
    NewRequest.Idempotent = NewRequest.Method == "GET";
    NewRequest.Deadline = now() + TestTimeout;
    return NewRequest;
  }

  static void finish(SidecarCall &Call) {
    while (!Call.done()) {
      (void)waitReadable(Call.fd(), Call.nextCheck());
      Call.advance(now());
    }
  }

  CallResponse run(CallRequest Request) {
    SidecarCall Call(Own, std::move(Request));
    Call.start(now());
    finish(Call);
    return std::move(Call.response());
  }

  Metrics Counts;
  LocalBackend Backend;
  Sidecar Own;
  std::unique_ptr<ScriptedBackend> Scripted;
  std::uint64_t Sequence = 0;
};

} // namespace magnolia::daemon::test

#endif
