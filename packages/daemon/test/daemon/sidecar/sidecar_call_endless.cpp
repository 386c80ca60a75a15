#include "../support/echo_dialect.h"
#include "../support/sidecar_fixture.h"

#include "daemon/memory/body_memory.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>

// Responses of a backend server that never end.

namespace magnolia::daemon {
namespace {

using policy::ErrorKind;

constexpr std::chrono::seconds Deadline{5};
// Time after which a response over a limit must have ended.
constexpr std::chrono::seconds Prompt{3};
// Bytes that the buffers of the kernel hold, with room for those that were read
// before the limit.
constexpr std::size_t MaxAcceptedBytes = std::size_t{24} << 20;

constexpr const char *Chunked =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n";

struct SidecarEndless : test::SidecarFixture {
  SidecarEndless() : SidecarFixture(&test::echoDialect()) {}

  CallRequest requestWithId() {
    CallRequest Made = request("POST");
    Made.Headers = {{"Request-Id", "r1"}};
    Made.Deadline = now() + Deadline;
    return Made;
  }
};

struct EndlessRow {
  const char *Failure;
  std::string Raw;
  std::optional<ErrorKind> Expected;
};

// Guards against bytes without end that fill the memory, keep the fiber busy
// past the deadline, or are reported as a request that did not run.
TEST_F(SidecarEndless, FastTable) {
  const std::string Head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
  const std::string Other = "Request-Id: r0\r\nContent-Length: 0\r\n\r\n";
  const std::string Same =
      "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: r1\r\n"
      "Content-Length: 0\r\n\r\n";
  const auto Broken = ErrorKind::BackendBrokenAnswer;
  const EndlessRow Rows[] = {
      {"bytes that are no response", "[endless]x", Broken},
      {"a status line", "HTTP/1.1 200 [endless]x", Broken},
      {"a head", Head + "[endless]A: b\r\n", Broken},
      {"a header line", Head + "A: [endless]x", Broken},
      {"interim responses", "[endless]HTTP/1.1 100 Continue\r\n\r\n", Broken},
      {"interim responses with headers",
       "[endless]HTTP/1.1 103 X\r\nA: b\r\n\r\n", Broken},
      {"the size of a chunk", std::string(Chunked) + "[endless]0", Broken},
      {"a chunk extension", std::string(Chunked) + "1;[endless]x", Broken},
      {"trailers", std::string(Chunked) + "0\r\n[endless]A: b\r\n", Broken},
      {"a trailer line", std::string(Chunked) + "0\r\nA: [endless]x", Broken},
      {"chunks", std::string(Chunked) + "[endless]1\r\nx\r\n",
       ErrorKind::AnswerTooLarge},
      {"a body without a length", Head + "\r\n[endless]x",
       ErrorKind::AnswerTooLarge},
      {"responses to other requests", "[endless]HTTP/1.1 200 OK\r\n" + Other,
       Broken},
      {"refusals of other requests",
       "[endless]HTTP/1.1 503 X\r\nNot-Executed: 1\r\n" + Other, Broken},
      {"bytes after a complete response",
       Head + "Content-Length: 2\r\n\r\nok[endless]x", std::nullopt},
      {"refusals after the refusal of the request", Same + "[endless]" + Same,
       ErrorKind::Overloaded},
  };
  for (const EndlessRow &Row : Rows) {
    startBackend([&Row](const std::string &) { return Row.Raw; });
    const policy::TimePoint Start = now();
    const CallResponse Response = run(requestWithId());
    EXPECT_LT(now() - Start, Prompt) << Row.Failure;
    EXPECT_EQ(Response.Kind, Row.Expected) << Row.Failure;
    EXPECT_LT(Scripted->EndlessBytes, MaxAcceptedBytes) << Row.Failure;
    EXPECT_EQ(Scripted->requests().size(), 1U) << Row.Failure;
    EXPECT_EQ(Own.admissionState().InFlight, 0U) << Row.Failure;
  }
}

// A sidecar whose limit on one body is larger than its memory.
struct SidecarMemory : testing::Test {
  static SidecarOptions options(BodyMemory &Memory) {
    SidecarOptions Made = test::withDialect(&test::echoDialect());
    Made.ResponseLimits.BodyBytes = std::size_t{64} << 20;
    Made.Memory = &Memory;
    return Made;
  }

  BodyMemory Memory{std::size_t{2} << 20};
  Metrics Counts;
  LocalBackend Backend;
  Sidecar Own{options(Memory), Backend, Counts};

  CallResponse run(std::uint16_t Port) {
    const LocalBackendState State{.Service = "stock",
                                  .Version = "1",
                                  .Address = "127.0.0.1",
                                  .Port = Port,
                                  .Slots = 1,
                                  .Present = true};
    Backend.update(State);
    Own.apply(State, now());
    CallRequest Request;
    Request.Id = {.Origin = 1, .Run = 1, .Sequence = 1};
    Request.Service = "stock";
    Request.Method = "GET";
    Request.Target = "/a";
    Request.Headers = {{"Request-Id", "r1"}};
    Request.Idempotent = true;
    Request.Deadline = now() + Deadline;
    SidecarCall Call(Own, std::move(Request));
    Call.start(now());
    test::SidecarFixture::finish(Call);
    return std::move(Call.response());
  }
};

// Guards against a response without end of which a node keeps all bytes up to
// the limit on one body, which is more than its memory.
TEST_F(SidecarMemory, ResponsesWithoutEndStayWithinTheMemory) {
  const std::string Head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
  const EndlessRow Rows[] = {
      {"chunks",
       std::string(Chunked) + "[endless]1000\r\n" + std::string(4096, 'x') +
           "\r\n",
       ErrorKind::AnswerTooLarge},
      {"a body without a length", Head + "\r\n[endless]x",
       ErrorKind::AnswerTooLarge},
      {"a stated length of almost all memory",
       Head + "Content-Length: 1900000\r\n\r\n[endless]x",
       ErrorKind::AnswerTooLarge},
      {"a usual response", Head + "Content-Length: 2\r\n\r\nok", std::nullopt}};
  for (const EndlessRow &Row : Rows) {
    test::ScriptedBackend Scripted(
        [&Row](const std::string &) { return Row.Raw; });
    EXPECT_EQ(run(Scripted.port()).Kind, Row.Expected) << Row.Failure;
    EXPECT_EQ(Memory.state().Held, 0U) << Row.Failure;
  }
  EXPECT_LE(Memory.state().Peak, std::size_t{2} << 20);
  EXPECT_EQ(Memory.state().Refused, 3U);
}

// Guards against a response that stays counted after it was passed on, or is
// not counted while it is kept.
TEST_F(SidecarMemory, AResponseIsCountedUntilItIsDestroyed) {
  const std::size_t Size = 100'000;
  test::ScriptedBackend Scripted([Size](const std::string &) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: " +
           std::to_string(Size) + "\r\n\r\n" + std::string(Size, 'x');
  });
  {
    const CallResponse Response = run(Scripted.port());
    EXPECT_EQ(Response.Body.size(), Size);
    EXPECT_GE(Memory.state().Held, Size);
  }
  EXPECT_EQ(Memory.state().Held, 0U);
}

// Guards against bytes that arrive so slowly that no single read times out.
TEST_F(SidecarEndless, SlowTable) {
  const std::string Head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
  const EndlessRow Rows[] = {
      {"a header line", Head + "A: [slow]x", {}},
      {"interim responses", "[slow]HTTP/1.1 100 Continue\r\n\r\n", {}},
      {"a body without a length", Head + "\r\n[slow]x", {}},
      {"a chunk extension", std::string(Chunked) + "1;[slow]x", {}},
  };
  for (const EndlessRow &Row : Rows) {
    startBackend([&Row](const std::string &) { return Row.Raw; });
    CallRequest Slow = requestWithId();
    Slow.Deadline = now() + std::chrono::milliseconds(40);
    const CallResponse Response = run(Slow);
    EXPECT_LT(now() - Slow.Deadline, Prompt) << Row.Failure;
    EXPECT_TRUE(Response.Kind == ErrorKind::DeadlineExceededUnknown ||
                Response.Kind == ErrorKind::AnswerTooLarge)
        << Row.Failure;
    EXPECT_EQ(Own.admissionState().InFlight, 0U) << Row.Failure;
  }
}

} // namespace
} // namespace magnolia::daemon
