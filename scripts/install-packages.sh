#!/usr/bin/env bash
# Installs every Debian package that building, testing and linting need.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy clang libclang-rt-14-dev spin
  libboost-dev libcpputest-dev libcxxopts-dev libinih-dev liblog4cxx-dev
  libmsgpack-cxx-dev libnghttp2-dev libpcg-cpp-dev libsodium-dev libxxhash-dev nlohmann-json3-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
((${#missing[@]} == 0)) && exit 0
export DEBIAN_FRONTEND=noninteractive
sudo=()
((EUID == 0)) || sudo=(sudo)
"${sudo[@]}" apt-get update -qq
"${sudo[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
