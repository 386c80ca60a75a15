#include "ctl/command/run_command.h"

#include "../fleet.h"

#include <gtest/gtest.h>

namespace magnolia::ctl {
namespace {

constexpr const char *Answer =
    R"({"routing_table":{"version":7,"outdated":false},
        "route":{"name":"r","rank":2},"service":"stock",
        "candidates":[
          {"address":"10.0.0.1","zone":"a","version":"1","state":"zone_out",
           "in_flight":1.5,"limit":10.0,"expected_ms":12.25,
           "report_age_ms":null},
          {"address":"10.0.0.2","zone":"b","version":"1","state":"ok",
           "in_flight":0.0,"limit":10.0,"expected_ms":8.0,
           "report_age_ms":3.5}],
        "choice":
          {"address":"10.0.0.2","zone":"b","version":"1","state":"ok",
           "in_flight":0.0,"limit":10.0,"expected_ms":8.0,
           "report_age_ms":3.5},
        "hedge":{"percent":5,"delay_ms":null}})";

struct WhereCommand : testing::Test {
  ExitCode run(const std::optional<std::string> &Body) {
    B.Run.Options.Selected = Command::Where;
    B.Run.Options.Http = settings::HostPort{"127.0.0.1", 8080};
    B.Run.Options.Host = "h.example";
    B.Run.Options.Arguments = {"/known/a?b=c"};
    B.Run.Fetch = [this,
                   Body](const settings::HostPort &, const std::string &Path,
                         const QueryValues &Query, std::chrono::milliseconds,
                         policy::Error &Error) {
      Asked = Path;
      Sent = Query;
      Error.Detail = "node 127.0.0.1:8080: no response";
      return Body;
    };
    return runCommand(B.Run);
  }

  Bench B;
  std::string Asked;
  QueryValues Sent;
};

// Guards against a request that is asked for under other values.
TEST_F(WhereCommand, PrintsTheChoiceAndItsInputs) {
  EXPECT_EQ(run(Answer), ExitCode::Done);
  EXPECT_EQ(Asked, "/-/where");
  EXPECT_EQ(Sent.find("path")->second, "/known/a?b=c");
  EXPECT_EQ(Sent.find("host")->second, "h.example");
  EXPECT_EQ(Sent.find("method")->second, "GET");
  // Nodes of earlier releases reject the name.
  EXPECT_EQ(Sent.count("nested"), 0U);
  EXPECT_TRUE(B.printed("route: name r, rank 2")) << B.Stream.str();
  EXPECT_TRUE(B.printed("*  10.0.0.2  -          b     1        ok"))
      << B.Stream.str();
  EXPECT_TRUE(B.printed("12.25        -")) << B.Stream.str();
  EXPECT_TRUE(B.printed("hedge: percent 5, delay_ms -")) << B.Stream.str();
}

// Guards against an organisation that the node does not know and that looks
// like an answer, and against a node that is asked for another request.
TEST_F(WhereCommand, FailsForAnUnknownOrganisation) {
  B.Run.Options.Organisation = "org-c";
  B.Run.Options.Nested = true;
  EXPECT_EQ(run(R"({"error":"unknown organisation: org-c"})"),
            ExitCode::Failed);
  EXPECT_EQ(Sent.find("organisation")->second, "org-c");
  EXPECT_EQ(Sent.find("nested")->second, "true");
  EXPECT_TRUE(B.printed("unknown organisation: org-c")) << B.Stream.str();
}

// Guards against a node that does not respond taken for one without a route.
TEST_F(WhereCommand, FailsWithoutAnAnswer) {
  EXPECT_EQ(run(std::nullopt), ExitCode::Failed);
  EXPECT_TRUE(B.printed("error: node 127.0.0.1:8080: no response"));
  EXPECT_EQ(run("[1"), ExitCode::Failed);
  EXPECT_TRUE(B.printed("unexpected response"));
}

} // namespace
} // namespace magnolia::ctl
