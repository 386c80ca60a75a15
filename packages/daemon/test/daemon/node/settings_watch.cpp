#include "daemon/node/settings_watch.h"

#include <unistd.h>

#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <string>

namespace magnolia::daemon {
namespace {

const std::string Valid = "[node]\n"
                          "address = 127.0.0.1\n"
                          "http_port = 1\n"
                          "peer_port = 2\n"
                          "control_port = 3\n"
                          "gossip_port = 4\n"
                          "cluster_key_file = key\n"
                          "[limits]\n";

// Settings file that is removed at the end.
struct SettingsFile {
  std::string Path = "/tmp/magnolia-settings-XXXXXX";

  explicit SettingsFile(const std::string &Text) {
    const int Fd = ::mkstemp(Path.data());
    EXPECT_GE(Fd, 0);
    ::close(Fd);
    write(Text);
  }
  SettingsFile(const SettingsFile &) = delete;
  SettingsFile &operator=(const SettingsFile &) = delete;
  ~SettingsFile() { std::remove(Path.c_str()); }

  void write(const std::string &Text) const {
    std::ofstream(Path, std::ios::trunc) << Text;
  }
};

// Guards against a reload of an unchanged file.
TEST(SettingsWatch, UnchangedFileChangesNothing) {
  const SettingsFile File(Valid);
  SettingsWatch Watch(File.Path, Valid);
  EXPECT_FALSE(Watch.check(false));
  EXPECT_FALSE(Watch.check(true));
}

// Guards against a change that is not detected without a signal.
TEST(SettingsWatch, ChangeIsSeenWithAndWithoutASignal) {
  for (const bool Signalled : {false, true}) {
    const SettingsFile File(Valid);
    SettingsWatch Watch(File.Path, Valid);
    File.write(Valid + "wait_queue = 77\n");
    const auto Next = Watch.check(Signalled);
    ASSERT_TRUE(Next);
    EXPECT_EQ(Next->WaitQueue, 77U);
    EXPECT_FALSE(Watch.check(false));
  }
}

struct BadRow {
  const char *Guards;
  std::string Text;
};

// Guards against settings from an invalid file, and against a corrected file
// that is ignored.
TEST(SettingsWatch, BadFileTable) {
  const BadRow Rows[] = {
      {"an empty file that is still being written", ""},
      {"a key that does not exist", Valid + "no_such_key = 1\n"},
      {"a value out of range", Valid + "wait_queue = -1\n"},
      {"bytes that are not settings", std::string("\0\xff\xfe[[[", 6)},
      {"a file over the limit", Valid + std::string(2 << 20, ';')},
  };
  for (const BadRow &Row : Rows) {
    const SettingsFile File(Valid);
    SettingsWatch Watch(File.Path, Valid);
    File.write(Row.Text);
    EXPECT_FALSE(Watch.check(true)) << Row.Guards;
    File.write(Valid + "wait_queue = 5\n");
    const auto Next = Watch.check(true);
    ASSERT_TRUE(Next) << Row.Guards;
    EXPECT_EQ(Next->WaitQueue, 5U) << Row.Guards;
  }
}

// Guards against a node that stops when its settings file is removed.
TEST(SettingsWatch, MissingFileChangesNothing) {
  SettingsWatch Watch("/tmp/magnolia-settings-that-is-not-there", Valid);
  EXPECT_FALSE(Watch.check(false));
  EXPECT_FALSE(Watch.check(true));
}

} // namespace
} // namespace magnolia::daemon
