#!/bin/sh
# Installs every Debian package that building, testing and the demo need.
set -eu
PACKAGES="gcc make pkg-config clang-format clang-tidy cppcheck curl jq
 libev-dev libmsgpack-dev libmicrohttpd-dev libcurl4-openssl-dev
 libcunit1-dev libjansson-dev libxxhash-dev libsodium-dev libgsl-dev"
missing=""
for p in $PACKAGES; do
	if ! dpkg -s "$p" >/dev/null 2>&1; then
		missing="$missing $p"
	fi
done
[ -n "$missing" ] || exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
