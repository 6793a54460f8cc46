#!/bin/sh
# A program outside the source tree builds and runs against the installed
# library, the installed programs run, and each installed header compiles on its
# own.
set -eu
source=$(cd "$(dirname "$0")/../.." && pwd)
build=${ZR_BUILD:-$source/build}
prefix=$(mktemp -d)
trap 'rm -rf "$prefix"' EXIT
cmake --install "$build" --prefix "$prefix" >/dev/null
cat >"$prefix/program.c" <<'EOF'
#include <stdio.h>
#include <zinniarack/config.h>
#include <zinniarack/errors.h>

int main(int argc, char **argv)
{
	struct zr_config *config;
	int error = zr_config_load_folder(&config, argv[argc - 1]);

	if (error < 0) {
		printf("%s\n", zr_error_name(error));
		return 1;
	}
	printf("%u teams\n", config->teams_count);
	zr_config_free(config);
	return 0;
}
EOF
pc=$(dirname "$(find "$prefix" -name zinniarack.pc)")
flags=
grep -q 'ZR_SANITIZE:BOOL=ON' "$build/CMakeCache.txt" &&
	flags='-fsanitize=address,undefined'
# shellcheck disable=SC2046
gcc $flags -Wall -Werror -o "$prefix/program" "$prefix/program.c" \
	$(PKG_CONFIG_PATH=$pc pkg-config --cflags --libs --static zinniarack)
test "$("$prefix/program" "$source/examples/kitakaze")" = '3 teams'
test "$("$prefix/program" "$prefix/none")" = not_found
for program in bin/zinniarack sbin/zinniarack-entryd sbin/zinniarack-schedulerd
do
	"$prefix/$program" --version | grep -q zinniarack
done
for header in "$prefix"/include/zinniarack/*.h
do
	echo "#include <zinniarack/$(basename "$header")>" |
		gcc -Wall -Werror -I"$prefix/include" -x c -fsyntax-only - \
			$(pkg-config --cflags libuv)
done
echo "test_install: ok"
