#include "ctl/options/parse_options.h"

#include <gtest/gtest.h>

#include <sstream>

namespace magnolia::ctl {
namespace {

std::vector<std::string> split(const std::string &Line) {
  std::istringstream Stream("magnoliactl " + Line);
  std::vector<std::string> Words;
  for (std::string Word; Stream >> Word;) {
    Words.push_back(Word);
  }
  return Words;
}

TEST(ParseOptions, ReadsCommandsAndOptions) {
  policy::Error Error;
  const auto Options = parseOptions(
      split("--store 127.0.0.1:7001 move start catalogue --node 127.0.0.1:7002 "
            "--node 127.0.0.2:7003 --key-file k --from v1 --to v2 --deadline "
            "+30m --timeout 3 --json --operator karim"),
      Error);
  ASSERT_TRUE(Options) << Error.Detail;
  EXPECT_EQ(Options->Selected, Command::MoveStart);
  EXPECT_EQ(Options->Arguments, std::vector<std::string>{"catalogue"});
  EXPECT_EQ(Options->Store, (settings::HostPort{"127.0.0.1", 7001}));
  EXPECT_EQ(Options->Nodes.size(), 2U);
  EXPECT_EQ(Options->Timeout, std::chrono::seconds(3));
  EXPECT_TRUE(Options->Json);
  EXPECT_EQ(Options->Operator, "karim");
  const auto Where =
      parseOptions(split("where /a --http 127.0.0.1:8080 --host h --method PUT "
                         "--organisation org-a --nested"),
                   Error);
  ASSERT_TRUE(Where) << Error.Detail;
  EXPECT_EQ(Where->Selected, Command::Where);
  EXPECT_EQ(Where->Http, (settings::HostPort{"127.0.0.1", 8080}));
  EXPECT_EQ(Where->Method, "PUT");
  EXPECT_EQ(Where->Organisation, "org-a");
  EXPECT_TRUE(Where->Nested);
  EXPECT_EQ(parseOptions(split("--help"), Error)->Selected, Command::Help);
  EXPECT_EQ(parseOptions(split("validate a b"), Error)->Arguments.size(), 2U);
}

struct UsageRow {
  const char *GuardsAgainst;
  const char *Line;
  const char *Named;
};

TEST(ParseOptions, MessageNamesWhatIsWrong) {
  const UsageRow Rows[] = {
      {"an invocation without a command", "", "no command"},
      {"a command of another tool", "apply x", "apply"},
      {"a zone command without a direction", "zone z1 --store a:1", "zone z1"},
      {"a publication without a store", "publish d", "--store"},
      {"a publication without a folder", "publish --store a:1", "arguments"},
      {"a second zone ignored silently", "zone out a b --store a:1",
       "arguments"},
      {"a status command without a node", "status", "--node"},
      {"an unauthenticated call", "status --node a:1", "--key-file"},
      {"a port truncated to 16 bits", "publish d --store a:65537", "a:65537"},
      {"an address without a port", "publish d --store a", "ADDRESS:PORT"},
      {"a wait without a timeout", "publish d --store a:1 --timeout 0",
       "--timeout 0"},
      {"a time unit that is ignored", "publish d --store a:1 --timeout 5m",
       "--timeout 5m"},
      {"a misspelt option that is ignored", "publish d --sotre a:1", "--sotre"},
      {"an option without its value", "publish d --store", "needs a value"},
      {"a key built from a path", "zone out ../x --store a:1", "../x"},
      {"a request without a node to ask", "where /a --host h", "--http"},
      {"a request to no host", "where /a --http a:1", "--host"},
      {"a path that no route matches", "where a --http a:1 --host h",
       "starts with '/'"},
      {"a rollout without a deadline",
       "move start s --from a --to b --store a:1", "--deadline"},
  };
  for (const UsageRow &Row : Rows) {
    policy::Error Error;
    EXPECT_FALSE(parseOptions(split(Row.Line), Error)) << Row.GuardsAgainst;
    EXPECT_NE(Error.Detail.find(Row.Named), std::string::npos)
        << Row.GuardsAgainst << ": " << Error.Detail;
  }
}

} // namespace
} // namespace magnolia::ctl
