#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the tests need.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
packages=(g++ cmake ninja-build pkg-config clang-format clang-tidy libtbb-dev libcpp-httplib-dev nlohmann-json3-dev
  libtomlplusplus-dev libgflags-dev liblog4cxx-dev libboost-dev catch2 libtrompeloeil-cpp-dev librapidcheck-dev
  libsodium-dev libxxhash-dev)
apt-get update -q >/dev/null
apt-get install -y -q "${packages[@]}" >/dev/null
