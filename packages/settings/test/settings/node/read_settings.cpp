#include "settings/node/read_settings.h"

#include "settings/node/setting_changes.h"

#include "settings/node/setting_entry.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace magnolia::settings {
namespace {

using testing::HasSubstr;

constexpr const char *Minimal = "[node]\n"
                                "address = 127.0.0.1\n"
                                "http_port = 8080\n"
                                "peer_port = 8081\n"
                                "control_port = 8082\n"
                                "gossip_port = 8083\n"
                                "cluster_key_file = cluster.key\n";

// Guards against defaults that are outside their accepted range.
TEST(ReadSettings, MinimalFileGetsDefaults) {
  policy::Error LastError;
  const auto Read = parseSettings(Minimal, "node.ini", LastError);
  ASSERT_TRUE(Read) << LastError.Detail;
  EXPECT_EQ(Read->HttpPort, 8080);
  EXPECT_EQ(Read->Zone, "default");
  EXPECT_FALSE(Read->HasBackend);
  EXPECT_EQ(Read->Spin, std::chrono::microseconds(50));
  EXPECT_EQ(Read->PeerIdle, std::chrono::seconds(10));
  EXPECT_EQ(Read->Hops, 17U);
}

TEST(ReadSettings, ReadsListsAndStaticEndpoints) {
  policy::Error LastError;
  const auto Read = parseSettings(std::string(Minimal) +
                                      "[contacts]\n"
                                      "nodes = 127.0.0.2:9000, 127.0.0.3:9001\n"
                                      "[static]\n"
                                      "service.1 = stock,127.0.0.2,7000,a,v1\n",
                                  "node.ini", LastError);
  ASSERT_TRUE(Read) << LastError.Detail;
  const std::vector<HostPort> Contacts = {{"127.0.0.2", 9000},
                                          {"127.0.0.3", 9001}};
  EXPECT_EQ(Read->Contacts, Contacts);
  const std::vector<StaticEndpoint> Static = {
      {"stock", "127.0.0.2", 7000, "a", "v1"}};
  EXPECT_EQ(Read->Static, Static);
}

struct FaultRow {
  const char *Failure;
  std::string Added;
  const char *Section;
  const char *Key;
  const char *Accepted;
};

TEST(ReadSettings, FaultTable) {
  const FaultRow Rows[] = {
      {"a misspelt key that is ignored", "[limits]\nbody_byte = 1\n",
       "[limits]", "key body_byte", "body_bytes"},
      {"a misspelt section that is ignored", "[limit]\nhops = 1\n", "[limit]",
       "key hops", "limits"},
      {"a number over its range", "[limits]\nhops = 18\n", "[limits]",
       "key hops", "1 to 17 hops"},
      {"a number with a unit read as a number", "[limits]\nspin_us = 50us\n",
       "[limits]", "key spin_us", "0 to 10000 us"},
      {"an overflow that wraps around",
       "[limits]\nhops = 99999999999999999999\n", "[limits]", "key hops",
       "1 to 17"},
      {"a name in place of an address", "[store]\naddress = store\n", "[store]",
       "key address", "IPv4 address"},
      {"an unknown log level", "[log]\nlevel = loud\n", "[log]", "key level",
       "debug, info, warning, error"},
      {"an unknown choice that is read as off",
       "[admission]\nworkload_aware = true\n", "[admission]",
       "key workload_aware", "off, auto, on"},
      {"a contact without a port", "[contacts]\nnodes = 127.0.0.1\n",
       "[contacts]", "key nodes", "address:port"},
      {"a static endpoint that lacks a field",
       "[static]\nservice.1 = stock,127.0.0.1,7000,a\n", "[static]",
       "key service.1", "name,address,peer_port,zone,version"},
      {"two values of which one is ignored",
       "[limits]\nhops = 2\n[limits]\nhops = 3\n", "[limits]", "key hops",
       "more than once"},
      {"hedges without a bound", "[hedge]\npercent = 21\n", "[hedge]",
       "key percent", "0 to 20 percent"},
      {"a negative number of hedges", "[hedge]\npercent = -1\n", "[hedge]",
       "key percent", "0 to 20 percent"},
      {"a quantile below the usual response time", "[hedge]\nquantile = 20\n",
       "[hedge]", "key quantile", "50 to 99"},
      {"a delay that no request lasts",
       "[hedge]\npercent = 1\nmin_delay_ms = "
       "501\n[limits]\ndeadline_maximum_ms = 500\n",
       "[hedge]", "key min_delay_ms", "up to 500 ms"},
      {"a backend server without a port", "[backend]\nservice = stock\n",
       "[backend]", "key port", "1 to 65535"},
  };
  for (const FaultRow &Row : Rows) {
    policy::Error LastError;
    EXPECT_FALSE(parseSettings(Minimal + Row.Added, "node.ini", LastError))
        << Row.Failure;
    EXPECT_THAT(LastError.Detail, HasSubstr("node.ini")) << Row.Failure;
    EXPECT_THAT(LastError.Detail, HasSubstr(Row.Section)) << Row.Failure;
    EXPECT_THAT(LastError.Detail, HasSubstr(Row.Key)) << Row.Failure;
    EXPECT_THAT(LastError.Detail, HasSubstr(Row.Accepted)) << Row.Failure;
  }
}

// Guards against a start with a missing key or a missing file.
TEST(ReadSettings, MissingKeyAndFileAreNamed) {
  policy::Error LastError;
  EXPECT_FALSE(parseSettings("[node]\n", "node.ini", LastError));
  EXPECT_THAT(LastError.Detail, HasSubstr("section [node], key address"));
  EXPECT_FALSE(readSettings("no-such-file.ini", LastError));
  EXPECT_THAT(LastError.Detail, HasSubstr("no-such-file.ini"));
}

// Guards against a reference page that differs from the table.
TEST(SettingsPage, CommittedPageMatches) {
  std::ifstream File(MAGNOLIA_SOURCE_DIR "/docs/operators/settings.md");
  std::ostringstream Committed;
  Committed << File.rdbuf();
  EXPECT_EQ(Committed.str(), settingsPage())
      << "run magnoliad --print-settings > docs/operators/settings.md";
}

struct ChangeRow {
  const char *Guards;
  const char *Before;
  const char *After;
  const char *Applied;
  const char *AtNextStart;
};

TEST(SettingChanges, Table) {
  const ChangeRow Rows[] = {
      {"a change reported if only the order differs",
       "[limits]\nwait_queue = 1\nhops = 2\n",
       "[limits]\nhops = 2\nwait_queue = 1\n", "", ""},
      {"an explicit default reported as a change", "",
       "[limits]\nwait_queue = 16\n", "", ""},
      {"a key that needs a restart reported as applied", "",
       "[limits]\nhops = 3\nwait_queue = 9\n[log]\nlevel = debug\n",
       "limits.wait_queue,log.level", "limits.hops"},
      {"a changed limit of hedges that waits for a restart", "",
       "[hedge]\npercent = 3\n", "hedge.percent", ""},
      {"a removed key that goes unnoticed",
       "[limits]\nwait_queue = 9\n[static]\nservice.a = x\n", "",
       "limits.wait_queue", "static.service.a"},
  };
  for (const ChangeRow &Row : Rows) {
    const SettingChanges Changes = settingChanges(Row.Before, Row.After);
    EXPECT_EQ(Changes.Applied, Row.Applied) << Row.Guards;
    EXPECT_EQ(Changes.AtNextStart, Row.AtNextStart) << Row.Guards;
  }
}

} // namespace
} // namespace magnolia::settings
