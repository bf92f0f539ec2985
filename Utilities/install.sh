#!/bin/sh
# Installs the declared Debian packages; does nothing when they are there.
set -eu
packages="g++ cmake ninja-build ccache clang-format clang-tidy curl
  libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev
  libflatbuffers-dev liblog4cxx-dev libcpputest-dev libssl-dev libxxhash-dev zlib1g-dev"
missing=""
for package in $packages; do
  dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update
# shellcheck disable=SC2086
$sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y $missing
