#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/, with the
# library that the build of the deploy file has made. Needs the packages of the
# deploy file only.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -Iinclude -Isrc/util
-Isrc/libzinniarack -Ireview/standin-2"
packages="libuv libh2o openssl libcyaml yaml-0.1 jansson libtirpc log4c libxxhash"
libs="target/libzinniarack.a $(pkg-config --libs $packages) -lhttp_parser -lm"
cc $flags $(pkg-config --cflags $packages) -o "$out/platform" \
	review/standin-2/platform.c tests/soak/store.c $libs
cc $flags $(pkg-config --cflags $packages) -o "$out/worker" \
	review/standin-2/worker.c review/standin-2/call.c $libs
cc $flags -o "$out/client" review/standin-2/client.c review/standin-2/call.c
cc $flags -o "$out/ports" review/standin-2/ports.c
