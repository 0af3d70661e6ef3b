#!/bin/sh
# Tells which source files call each other in a circle, from the object files.
#
#   layers.sh BUILD
#
# Calls through a vtable do not count: the caller knows only the ops there.
set -u
cd "$(dirname "$0")/.." || exit 1
build=$1
calls=$(mktemp) || exit 1
loops=$(mktemp) || exit 1
trap 'rm -f "$calls" "$loops"' EXIT

# Objects of files that no longer exist may be left in the build folder.
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
	echo "layers: files call each other in a circle:" >&2
	sed 's/^tsort: //' "$loops" >&2
	exit 1
fi
echo "layers: no circle among $(cut -d' ' -f1 "$calls" | sort -u | wc -l) files"
