#include "daemon/node/settings_watch.h"

#include "daemon/log/log.h"
#include "settings/node/read_settings.h"
#include "settings/node/setting_changes.h"

#include <string_view>
#include <utility>

namespace magnolia::daemon {

namespace {

void logReloadFailure(std::string_view Reason) {
  log(LogLevel::Error, "reload", {{"changed", false}, {"reason", Reason}});
}

} // namespace

SettingsWatch::SettingsWatch(std::string Path, std::string Text)
    : Path(std::move(Path)), Text(std::move(Text)) {
  (void)statusChanged();
}

bool SettingsWatch::statusChanged() {
  struct stat Now {};
  if (::stat(Path.c_str(), &Now) != 0) {
    return false;
  }
  const bool Same = Now.st_ino == LastStatus.st_ino &&
                    Now.st_size == LastStatus.st_size &&
                    Now.st_mtim.tv_sec == LastStatus.st_mtim.tv_sec &&
                    Now.st_mtim.tv_nsec == LastStatus.st_mtim.tv_nsec;
  LastStatus = Now;
  return !Same;
}

std::optional<settings::NodeSettings> SettingsWatch::check(bool Signalled) {
  if (!statusChanged() && !Signalled) {
    return std::nullopt;
  }
  policy::Error LastError;
  auto Next = settings::readSettingsText(Path, LastError);
  if (!Next) {
    logReloadFailure(LastError.Detail);
    return std::nullopt;
  }
  if (*Next == Text) {
    if (Signalled) {
      log(LogLevel::Info, "reload", {{"changed", false}});
    }
    return std::nullopt;
  }
  auto Parsed = settings::parseSettings(*Next, Path, LastError);
  if (!Parsed) {
    logReloadFailure(LastError.Detail);
    return std::nullopt;
  }
  const settings::SettingChanges Changes =
      settings::settingChanges(Text, *Next);
  log(LogLevel::Info, "reload",
      {{"changed", true},
       {"applied", std::string_view(Changes.Applied)},
       {"at_next_start", std::string_view(Changes.AtNextStart)}});
  Text = *std::move(Next);
  return Parsed;
}

} // namespace magnolia::daemon
