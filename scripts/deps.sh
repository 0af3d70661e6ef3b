#!/bin/sh
# Installs the Debian packages that the build and the tests need.
set -eu

packages="libapr1-dev libmsgpack-dev libmicrohttpd-dev libjansson-dev \
libxxhash-dev libcmocka-dev libgsl-dev libcurl4-openssl-dev \
libhttp-parser-dev zlib1g-dev libunistring-dev"
tools="gcc make cmake pkg-config clang-format clang-tidy curl perl"

missing=""
for p in $packages $tools; do
	dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"
done
[ -n "$missing" ] || exit 0
[ "$(id -u)" = 0 ] || { echo "deps: run as root to install:$missing" >&2; exit 1; }
apt-get update -q
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -q -y $missing
