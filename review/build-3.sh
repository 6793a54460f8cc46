#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3: the world (the
# store, workers, operator and clients) and the project's relay. The build of the
# deploy file comes first; this uses its library.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
packages="libuv libh2o openssl libcyaml yaml-0.1 jansson libtirpc log4c libxxhash"
flags="-std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE -Iinclude -Isrc/util
	-Isrc/libzinniarack -Irpc -Itests -Ireview/standin-3
	$(pkg-config --cflags $packages)"
libs="target/libzinniarack.a $(pkg-config --libs $packages) -lhttp_parser -lm"
cc $flags -o "$out/world" review/standin-3/*.c tests/soak/store.c $libs
cc $flags -o "$out/standin-relay" tests/standins/relay.c $libs
