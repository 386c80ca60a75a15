#include "../support/sidecar_fixture.h"
#include "daemon/usage/boot_clock.h"
#include "daemon/usage/run_counter.h"

namespace magnolia::daemon::test {
namespace {

// A sidecar that counts runs for the usage report.
struct CountedRuns : SidecarFixture {
  CountedRuns() {
    Runs.setTrueTime(policy::TimePoint(std::chrono::hours(1000)), bootNow());
  }

  void runOne(const std::string &Response) {
    startBackend([Response](const std::string &) { return Response; });
    SidecarOptions Options = withDialect(nullptr);
    Options.Runs = &Runs;
    Sidecar Counting(Options, Backend, Counts);
    Counting.apply(Backend.state(), now());
    CallRequest Request = request();
    Request.Organisation = "org";
    Request.Nested = Nested;
    SidecarCall Call(Counting, std::move(Request));
    Call.start(now());
    finish(Call);
  }

  // Runs of the organisation that the node would report.
  std::uint64_t counted() {
    std::uint64_t Sum = 0;
    for (const auto &Window : Runs.messageFor(1, bootNow()).Windows) {
      for (const auto &[Name, Count] : Window.Counts) {
        Sum += Name == "org" ? Count : 0;
      }
    }
    return Sum;
  }

  bool Nested = false;
  RunCounter Runs{policy::UsageOptions{.Window = std::chrono::hours(1)}};
};

TEST_F(CountedRuns, CountsARun) {
  runOne(plainResponse("x"));
  EXPECT_EQ(counted(), 1U);
}

// Guards against a report with requests that the backend server refused.
TEST_F(CountedRuns, DoesNotCountARefusedRequest) {
  runOne("HTTP/1.1 503 Busy\r\nBackend-Shed: 1\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(counted(), 0U);
}

// Guards against an organisation that is charged for the calls that services
// make on its behalf.
TEST_F(CountedRuns, DoesNotCountANestedCall) {
  Nested = true;
  runOne(plainResponse("x"));
  EXPECT_EQ(counted(), 0U);
}

} // namespace
} // namespace magnolia::daemon::test
