#include "daemon/entry/entry_call.h"

#include "../support/routed_entry.h"
#include "../support/scripted_backend.h"
#include "../support/test_node.h"

#include "daemon/entry/http_service.h"
#include "daemon/entry/local_endpoints.h"
#include "daemon/memory/body_memory.h"
#include "daemon/net/fiber_pool.h"

#include <gtest/gtest.h>

#include <functional>
#include <future>
#include <thread>
#include <utility>

namespace magnolia::daemon {
namespace {

using namespace test;
using policy::ErrorKind;
using policy::WorkloadSetting;

// An entry node that has just started, and a backend server that it does not
// know yet.
struct EntryCallStart : testing::Test {
  static void await(const std::function<bool()> &Condition) {
    const policy::TimePoint GiveUp = now() + TestTimeout;
    while (!Condition() && now() < GiveUp) {
      std::this_thread::yield();
    }
  }

  RoutedEntry Entry{WorkloadSetting::On, false, now()};
  ScriptedBackend Scripted{
      [](const std::string &) { return plainResponse("ok"); }};
};

// Guards against a request that waits for ever, and against places of waiting
// requests that are not given back.
TEST_F(EntryCallStart, UnknownServiceIsRejectedAsBefore) {
  const policy::TimePoint Asked = now();
  EXPECT_EQ(Entry.ask("a").Kind, ErrorKind::NoBackendServer);
  EXPECT_GE(now() - Asked, std::chrono::milliseconds(300));
  const policy::TimePoint Now = now();
  const policy::UnservedRequest Other{.Deadline = Now + TestTimeout,
                                      .WorkloadAware = true};
  for (int I = 0; I < 64; ++I) {
    EXPECT_TRUE(Entry.Node.Starting.begin(Other, Now));
  }
  EXPECT_EQ(Entry.ask("b").Kind, ErrorKind::NoBackendServer);
  EXPECT_EQ(Entry.Counts.value(Counter::StartWaits), 1U);
}

// Guards against a request that a stopping node still forwards.
TEST_F(EntryCallStart, StopEndsTheWait) {
  auto Asked =
      std::async(std::launch::async, [this] { return Entry.ask("a").Kind; });
  await([this] { return Entry.Counts.value(Counter::StartWaits) == 1; });
  Entry.Node.beginStop({.Announced = now(), .End = now() + TestTimeout});
  Entry.attach(Scripted.port());
  EXPECT_EQ(Asked.get(), ErrorKind::Shutdown);
  EXPECT_TRUE(Scripted.requests().empty());
}

// Guards against a request that a starting node rejects although it learns of
// the backend server in time, against one that is forwarded after its caller
// has left, and against a wait that occupies the only traffic thread.
TEST_F(EntryCallStart, RequestsWaitSideBySideOnFibers) {
  BodyMemory Bodies{std::size_t{1} << 20};
  const LocalEndpoints Local{.Backend = Entry.Backend};
  HttpService Service(
      [&](HttpRequest Request, CallerWatch &From) {
        return serveCaller(Entry.Node, Local, std::move(Request), From);
      },
      Entry.Counts, Entry.Routed,
      {.Limits = {.HeadBytes = 4096, .BodyBytes = 4096},
       .Memory = &Bodies,
       .Idle = TestTimeout,
       .Read = TestTimeout});
  FiberPool Fibers(1, {});
  ConnectionServer Server({.Address = "127.0.0.1",
                           .Port = 0,
                           .Maximum = 8,
                           .Serve = [&](Session &S) { Service.serve(S); },
                           .Refuse = {},
                           .Fibers = &Fibers});
  policy::Error LastError;
  ASSERT_TRUE(Server.start(LastError));
  const auto Send = [&Server] {
    UniqueFd Caller =
        connectTcp("127.0.0.1", Server.port(), now() + TestTimeout);
    EXPECT_TRUE(sendAll(Caller.fd(), "GET /r/ HTTP/1.1\r\nHost: h\r\n\r\n", {},
                        now() + TestTimeout));
    return Caller;
  };
  const UniqueFd Staying = Send();
  UniqueFd Leaving = Send();
  await([this] { return Entry.Counts.value(Counter::StartWaits) == 2; });
  Leaving.reset();
  await([this] { return Entry.Counts.errors(ErrorKind::Cancelled) == 1; });
  Entry.attach(Scripted.port());
  EXPECT_TRUE(TestNode::readResponse(Staying.fd()).starts_with("HTTP/1.1 200"));
  EXPECT_EQ(Scripted.requests().size(), 1U);
  EXPECT_EQ(Entry.Counts.value(Counter::StartWaitsServed), 1U);
  Server.stopAccepting();
  Server.shutDownAll();
  EXPECT_TRUE(Server.drain(now() + TestTimeout));
}

// Guards against requests that wait at a node without the part, at one that
// started long ago, and for a service whose servers are known and leaving.
TEST_F(EntryCallStart, OtherRequestsDoNotWait) {
  RoutedEntry Off(WorkloadSetting::Off, true, now());
  RoutedEntry Old(WorkloadSetting::On, true, now() - std::chrono::seconds(2));
  Entry.attach(Scripted.port(), true);
  EXPECT_EQ(Off.ask("a").Kind, ErrorKind::NoBackendServer);
  EXPECT_EQ(Old.ask("a").Kind, ErrorKind::NoBackendServer);
  EXPECT_EQ(Entry.ask("a").Kind, ErrorKind::Draining);
  for (const RoutedEntry *Each : {&Off, &Old, &Entry}) {
    EXPECT_EQ(Each->Counts.value(Counter::StartWaits), 0U);
  }
}

} // namespace
} // namespace magnolia::daemon
