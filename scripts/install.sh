#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail

PACKAGES=(
  g++ cmake ninja-build pkg-config ccache git python3
  clang-format clang-tidy
  protobuf-compiler libprotobuf-dev
  libboost-dev libboost-context-dev libboost-log-dev libcpp-httplib-dev libinih-dev libxxhash-dev
  nlohmann-json3-dev libssl-dev libgtest-dev libgmock-dev libbenchmark-dev
)

missing=()
for package in "${PACKAGES[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -q \
  --no-install-recommends "${missing[@]}"
