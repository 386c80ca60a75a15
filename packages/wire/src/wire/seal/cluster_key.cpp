#include "wire/seal/cluster_key.h"

#include <fstream>

namespace magnolia::wire {

std::optional<ClusterKey> readClusterKey(const std::string &Path,
                                         policy::Error &LastError) {
  std::ifstream File(Path, std::ios::binary);
  std::string Bytes(ClusterKeyMaximumBytes + 1, '\0');
  if (!File) {
    LastError = {policy::ErrorKind::BadRequest,
                 "the cluster key file " + Path + " cannot be opened"};
    return std::nullopt;
  }
  File.read(Bytes.data(), static_cast<std::streamsize>(Bytes.size()));
  Bytes.resize(static_cast<std::size_t>(File.gcount()));
  const bool TooLong = Bytes.size() > ClusterKeyMaximumBytes;
  Bytes.erase(Bytes.find_last_not_of(" \t\r\n") + 1);
  if (TooLong || Bytes.size() < ClusterKeyMinimumBytes) {
    LastError = {policy::ErrorKind::BadRequest,
                 "the cluster key in " + Path + " must have " +
                     std::to_string(ClusterKeyMinimumBytes) + " to " +
                     std::to_string(ClusterKeyMaximumBytes) + " bytes"};
    return std::nullopt;
  }
  return ClusterKey{.Bytes = std::move(Bytes)};
}

} // namespace magnolia::wire
