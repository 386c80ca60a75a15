#include "../support/echo_dialect.h"
#include "../support/sidecar_fixture.h"

namespace magnolia::daemon {
namespace {

using policy::ErrorKind;
using test::plainResponse;

// A sidecar whose backend server aborts a request when its connection closes.
struct SidecarCancelled : test::SidecarFixture {
  SidecarCancelled() : SidecarFixture(&test::echoDialect()) {}
};

// Guards against a cancelled copy that stays in the queue and takes a slot, and
// against one that runs and keeps its slot although the backend server aborts
// it.
TEST_F(SidecarCancelled, CopiesLeaveTheQueueAndFreeTheirSlot) {
  startBackend([](const std::string &Request) {
    return Request.starts_with("PUT") ? "hang" : plainResponse("ok");
  });
  SidecarCall Running(Own, request("PUT"));
  Running.start(now());
  SidecarCall Waiting(Own, request("PUT"));
  Waiting.start(now());
  ASSERT_EQ(Own.admissionState().Waiting.size(), 1U);
  Waiting.cancel(ErrorKind::Cancelled, now());
  EXPECT_EQ(Own.admissionState().Waiting.size(), 0U);
  EXPECT_FALSE(Waiting.response().Reached);
  Running.cancel(ErrorKind::Cancelled, now());
  EXPECT_EQ(Own.admissionState().InFlight, 0U);
  EXPECT_EQ(run(request()).Body, "ok");
}

// Guards against a slot that nobody holds because the copy was cancelled
// between the grant and its next turn.
TEST_F(SidecarCancelled, GrantedCopyThatIsCancelledFreesItsSlot) {
  startBackend([](const std::string &) { return "hang"; });
  SidecarCall Running(Own, request("PUT"));
  Running.start(now());
  SidecarCall Waiting(Own, request("PUT"));
  Waiting.start(now());
  Running.cancel(ErrorKind::Cancelled, now());
  EXPECT_EQ(Own.admissionState().InFlight, 1U);
  Waiting.cancel(ErrorKind::Cancelled, now());
  EXPECT_EQ(Own.admissionState().InFlight, 0U);
}

} // namespace
} // namespace magnolia::daemon
