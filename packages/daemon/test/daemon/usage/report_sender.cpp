#include "daemon/usage/report_sender.h"

#include "../support/test_node.h"

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <string>
#include <utility>

namespace magnolia::daemon {
namespace {

using policy::SendOutcome;

const policy::TimePoint Now{std::chrono::hours(1)};

struct ResponseRow {
  const char *Failure;
  const char *Response;
  SendOutcome Expected;
};

ReportResult send(std::uint16_t Port, policy::TimePoint Until,
                  std::string Body = "{}") {
  ReportSender Sender("127.0.0.1", Port, [] { return Now; });
  std::promise<ReportResult> Result;
  EXPECT_TRUE(Sender.submit(
      {.Method = "POST", .Target = "/report", .Body = std::move(Body)}, Until,
      [&Result](ReportResult Sent) { Result.set_value(std::move(Sent)); }));
  return Result.get_future().get();
}

TEST(ReportSender, ResponseTable) {
  const ResponseRow Rows[] = {
      {"an accepted report that is sent again",
       "HTTP/1.1 204 No Content\r\n\r\n", SendOutcome::Accepted},
      {"a report that is lost because too many were sent",
       "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
       SendOutcome::Retry},
      {"a report that is lost because the receiver is down",
       "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
       SendOutcome::Retry},
      {"a refused report that blocks those behind it",
       "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n",
       SendOutcome::Refused},
      {"a response that breaks off", "HTTP/1.1 20[cut]", SendOutcome::Retry},
      {"a response that is not HTTP", "nonsense\r\n\r\n[cut]",
       SendOutcome::Retry},
      {"a connection that is closed", "", SendOutcome::Retry},
      {"a response that is reset in its body",
       "HTTP/1.1 200 OK\r\n\r\npart[reset]", SendOutcome::Retry},
      {"an undefined status", "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
       SendOutcome::Retry},
      {"a report that is lost for a status that is too large",
       "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n", SendOutcome::Retry},
      {"a blank in the name of a field",
       "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 0\r\n\r\n",
       SendOutcome::Retry},
      {"a blank before a colon",
       "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n", SendOutcome::Retry},
      {"a control byte in the name of a field",
       "HTTP/1.1 200 OK\r\nA\x01: c\r\nContent-Length: 0\r\n\r\n",
       SendOutcome::Retry},
  };
  for (const ResponseRow &Row : Rows) {
    test::ScriptedBackend Receiver(
        [&Row](const std::string &) { return std::string(Row.Response); });
    EXPECT_EQ(send(Receiver.port(), Now + std::chrono::seconds(5)).Outcome,
              Row.Expected)
        << Row.Failure;
  }
  EXPECT_EQ(send(test::freePort(), Now + std::chrono::seconds(5)).Outcome,
            SendOutcome::Retry);
}

// Guards against a report that counts as accepted although the receiver reset
// its connection before it had read it.
TEST(ReportSender, AResetDuringTheReportDoesNotAcceptIt) {
  test::ScriptedBackend Receiver([](const std::string &) {
    return std::string("HTTP/1.1 200 OK\r\n\r\npart[reset]");
  });
  Receiver.RespondsToHeads = true;
  constexpr std::size_t ReportBytes = std::size_t{12} << 20;
  EXPECT_EQ(send(Receiver.port(), Now + std::chrono::seconds(5),
                 std::string(ReportBytes, 'x'))
                .Outcome,
            SendOutcome::Retry);
}

// Guards against a holder that sends after its lease.
TEST(ReportSender, SendsNothingAfterTheGivenTime) {
  test::ScriptedBackend Receiver(
      [](const std::string &) { return test::plainResponse(""); });
  EXPECT_EQ(send(Receiver.port(), Now).Outcome, SendOutcome::Retry);
  EXPECT_TRUE(Receiver.requests().empty());
}

} // namespace
} // namespace magnolia::daemon
