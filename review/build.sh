#!/bin/sh
# Builds the stand-in of the cases, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
${CC:-cc} -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE \
	-Iinclude -Isrc/util -Isrc/libzinniarack -Irpc -Itests \
	$(pkg-config --cflags libuv libh2o jansson libtirpc) \
	-o target/review/review-world review/standin/*.c tests/soak/store.c \
	target/libzinniarack.a \
	$(pkg-config --libs libuv libh2o openssl libcyaml yaml-0.1 jansson \
		libtirpc log4c libxxhash) -lhttp_parser -lm
