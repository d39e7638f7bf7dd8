#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Needs root.
set -euo pipefail
packages=(
    g++ cmake ninja-build pkg-config ccache clang-format clang-tidy python3
    libevent-dev capnproto libcapnp-dev libboost-dev libcxxopts-dev libeasyloggingpp-dev
    librapidcheck-dev libinih-dev libsodium-dev libopentracing-dev libgtest-dev libgmock-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${missing[@]}" >/dev/null
