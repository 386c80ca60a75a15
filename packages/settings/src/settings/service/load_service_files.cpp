#include "settings/service/load_service_files.h"

#include "settings/service/parse_service_file.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string_view>
#include <system_error>

namespace magnolia::settings {
namespace {

namespace fs = std::filesystem;

bool isServiceFile(const fs::path &Path) {
  const std::string Name = Path.filename().string();
  return Name.size() > ServiceFileSuffix.size() &&
         std::string_view(Name).substr(
             Name.size() - ServiceFileSuffix.size()) == ServiceFileSuffix;
}

void collect(const fs::path &Folder, std::vector<std::string> &Found,
             std::vector<std::string> &Faults) {
  std::error_code Error;
  fs::recursive_directory_iterator It(Folder, Error);
  while (!Error && It != fs::recursive_directory_iterator() &&
         Found.size() <= MaxServiceFiles) {
    const bool Hidden = It->path().filename().string().rfind('.', 0) == 0;
    if (It->is_directory(Error) && (Hidden || It.depth() >= MaxFolderDepth)) {
      It.disable_recursion_pending();
    } else if (!Hidden && isServiceFile(It->path()) &&
               It->is_regular_file(Error)) {
      Found.push_back(It->path().string());
    }
    It.increment(Error);
  }
  if (Error) {
    Faults.push_back(Folder.string() + ": " + Error.message());
  }
}

void load(const std::string &Path, LoadedServices &Loaded) {
  std::ifstream Stream(Path, std::ios::binary);
  std::string Text(MaxServiceFileSize + 1, '\0');
  Stream.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  if (!Stream.is_open() || Stream.bad()) {
    Loaded.Faults.push_back(Path + ": cannot be read; check its permissions");
    return;
  }
  Text.resize(static_cast<std::size_t>(Stream.gcount()));
  policy::Error Error;
  if (auto File = parseServiceFile(Text, Path, Error)) {
    Loaded.Files.push_back(std::move(*File));
  } else {
    Loaded.Faults.push_back(Error.Detail);
  }
}

void findDuplicates(LoadedServices &Loaded) {
  std::map<std::string_view, const ServiceFile *> First;
  for (const ServiceFile &File : Loaded.Files) {
    const auto [Other, Inserted] = First.emplace(File.Service.Service, &File);
    if (!Inserted) {
      Loaded.Faults.push_back(File.Path + ": service " + File.Service.Service +
                              " is also in " + Other->second->Path +
                              "; remove one of them");
    }
  }
}

} // namespace

LoadedServices loadServiceFiles(const std::vector<std::string> &Paths) {
  LoadedServices Loaded;
  std::vector<std::string> Found;
  for (const std::string &Path : Paths) {
    std::error_code Error;
    if (fs::is_directory(Path, Error)) {
      collect(Path, Found, Loaded.Faults);
    } else if (isServiceFile(Path) && fs::exists(Path, Error)) {
      Found.push_back(Path);
    } else {
      Loaded.Faults.push_back(Path +
                              ": neither a folder nor a *.service.ini file");
    }
  }
  std::sort(Found.begin(), Found.end());
  Found.erase(std::unique(Found.begin(), Found.end()), Found.end());
  if (Found.size() > MaxServiceFiles) {
    Loaded.Faults.push_back("more than 10000 service files; publish fewer "
                            "folders at a time");
    return Loaded;
  }
  for (const std::string &Path : Found) {
    load(Path, Loaded);
  }
  findDuplicates(Loaded);
  if (Found.empty() && Loaded.Faults.empty()) {
    Loaded.Faults.emplace_back("no *.service.ini file found");
  }
  return Loaded;
}

} // namespace magnolia::settings
