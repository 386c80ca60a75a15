#include "../support/test_node.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

// Broken responses of a backend server, as the caller sees them.

namespace magnolia::daemon {
namespace {

using namespace test;
using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

// More than the buffers of the sockets hold, and less than a node accepts.
constexpr std::size_t UploadBytes = std::size_t{12} << 20;
constexpr std::size_t MaxBytes = std::size_t{16} << 20;

// A backend server that sends the same bytes to each request, the node beside
// it, and a node without a backend server.
struct Deployment {
  explicit Deployment(const std::string &Raw)
      : Backend([Raw](const std::string &) { return Raw; }),
        Beside(settingsOf(PeerPort, PeerPort), Backend.port()),
        Other(settingsOf(freePort(), PeerPort)) {
    Backend.RespondsToHeads = true;
  }

  // Returns the settings of a node on a peer port that sends requests to the
  // sidecar on another one.
  static settings::NodeSettings settingsOf(std::uint16_t Own,
                                           std::uint16_t Sidecar) {
    settings::NodeSettings Made = nodeSettings();
    Made.PeerPort = Own;
    Made.BodyBytes = Made.ResponseBytes = MaxBytes;
    Made.Static = {{.Service = "stock",
                    .Address = "127.0.0.1",
                    .PeerPort = Sidecar,
                    .Zone = "a",
                    .Version = "1"}};
    return Made;
  }

  std::uint16_t PeerPort = freePort();
  ScriptedBackend Backend;
  TestNode Beside;
  TestNode Other;
};

struct BrokenRow {
  const char *Failure;
  std::string Raw;
};

// The same upload with a length and in one chunk.
std::vector<std::string> uploads() {
  const std::string Body(UploadBytes, 'x');
  return {request("POST", "/", Body),
          "POST / HTTP/1.1\r\nMagnolia-Service: stock\r\n"
          "Transfer-Encoding: chunked\r\n\r\nC00000\r\n" +
              Body + "\r\n0\r\n\r\n"};
}

std::string withStatus(const std::string &Status) {
  return "HTTP/1.1 " + Status + " X\r\nContent-Length: 4\r\n\r\npart";
}

std::string withField(const std::string &Field) {
  return "HTTP/1.1 200 OK\r\n" + Field + "\r\nContent-Length: 4\r\n\r\npart";
}

const BrokenRow Rows[] = {
    {"a body without a length that is reset",
     "HTTP/1.1 200 OK\r\n\r\npart[reset]"},
    {"a body without a length of a server that closes without reading",
     "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart[close]"},
    {"a body with a length that is reset",
     "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart[reset]"},
    {"chunks that are reset",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "4\r\npart\r\n[reset]"},
    {"status 000", withStatus("000")},
    {"status 099", withStatus("099")},
    {"status 600", withStatus("600")},
    {"status 999", withStatus("999")},
    {"a blank in the name of a field", withField("A B: c")},
    {"a blank before a colon", withField("A : c")},
    {"a blank after Content-Length", withField("Content-Length : 2")},
    {"a control byte in the name of a field", withField("A\x01: c")},
};

// Guards against a broken response that reaches the caller as a response, or
// only when its time budget is over.
TEST(BrokenResponses, AreReportedAsBroken) {
  const std::vector<std::string> Uploads = uploads();
  for (const BrokenRow &Row : Rows) {
    const Deployment Fleet(Row.Raw);
    for (const TestNode *Entry : {&Fleet.Beside, &Fleet.Other}) {
      for (const std::string &Upload : Uploads) {
        const std::string Shown =
            std::string(Row.Failure) +
            (Entry == &Fleet.Beside ? ", local" : ", over the other node") +
            (&Upload == &Uploads.front() ? "" : ", in chunks");
        const std::string Response = Entry->ask(Upload);
        EXPECT_THAT(Response, StartsWith("HTTP/1.1 502 ")) << Shown;
        EXPECT_THAT(Response, HasSubstr("Magnolia-Error: BackendBrokenAnswer"))
            << Shown;
        EXPECT_THAT(Response, HasSubstr("Magnolia-Run: unknown")) << Shown;
        EXPECT_THAT(Response, Not(HasSubstr("part"))) << Shown;
      }
    }
  }
}

} // namespace
} // namespace magnolia::daemon
