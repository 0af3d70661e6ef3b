#!/bin/sh
# Runs a functional test and compares its output with the expected one.
#
#   session.sh BUILD test/functional/NAME.sh
#
# The expected output is in NAME.out in the same folder. MESH_ACCEPT=1 replaces
# it by the actual output.
set -u
build=$1
script=$2
expected=${script%.sh}.out
cd "$(dirname "$script")/../.." || exit 1
actual=$(mktemp)
trap 'rm -f "$actual"' EXIT

BUILD=$build sh "$script" >"$actual" 2>&1
rc=$?
if [ -n "${MESH_ACCEPT:-}" ]; then
	cp "$actual" "$expected"
	exit 0
fi
if ! diff -u "$expected" "$actual"; then
	echo "session $script: output differs"
	exit 1
fi
exit $rc
