#!/bin/sh
# Checks the object files for dependency cycles between source files.
#
#   layers.sh BUILD
#
# Calls through a table of functions do not count: there the caller depends only
# on the struct of function pointers.
set -u
cd "$(dirname "$0")/.." || exit 1
build=$1
calls=$(mktemp) || exit 1
loops=$(mktemp) || exit 1
trap 'rm -f "$calls" "$loops"' EXIT

# Skips objects in the build folder whose source file no longer exists.
for object in $(find "$build" -path '*.dir/src/*.c.o' -o \
    -path '*.dir/platform/*.c.o'); do
	source=${object##*.dir/}
	source=${source%.o}
	[ -e "$source" ] && nm "$object" | sed "s|^|$source |"
done | awk '
$NF == "main" { next }
$(NF - 1) ~ /^[TDBRC]$/ { home[$NF] = $1 }
$(NF - 1) == "U" { used[$1 " " $NF] = 1 }
END {
	for (use in used) {
		split(use, part, " ")
		to = home[part[2]]
		if (to != "" && to != part[1])
			print part[1], to
	}
}' | sort -u >"$calls"

if [ ! -s "$calls" ]; then
	echo "layers: no object files in $build" >&2
	exit 1
fi
tsort "$calls" >/dev/null 2>"$loops"
if [ -s "$loops" ]; then
	echo "layers: dependency cycles between source files:" >&2
	sed 's/^tsort: //' "$loops" >&2
	exit 1
fi
echo "layers: no dependency cycles among $(cut -d' ' -f1 "$calls" | sort -u | wc -l) files"
