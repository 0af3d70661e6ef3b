#!/bin/sh
# Checks the format of all sources, runs the linter, and checks for dependency
# cycles.
#
#   lint.sh BUILD
set -u
cd "$(dirname "$0")/.." || exit 1
build=$1
files=$(git ls-files --cached --others --exclude-standard 'src/*.[ch]' 'platform/*.[ch]' \
    'test/*.[ch]')
rc=0

# shellcheck disable=SC2086
clang-format --dry-run --Werror $files || rc=1
echo "$files" | grep '\.c$' |
    xargs -P "${JOBS:-$(nproc)}" -n 4 clang-tidy -p "$build" --quiet \
	2>/dev/null || rc=1
./scripts/layers.sh "$build" || rc=1
[ $rc = 0 ] && echo "lint: clean"
exit $rc
