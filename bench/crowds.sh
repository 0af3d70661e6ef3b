#!/bin/sh
# Memory of a proxy beside crowds of clients that begin requests and stay: one, four and
# sixteen times as many. Prints the peak memory of each proxy, its open descriptors, and
# the status of an ordinary request while the crowd is there.
#
#   crowds.sh BUILD [MEMORY_MB [COUNT ... [-- FORM:BYTES ...]]]
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. test/fakes/crowd.sh
BUILD=$1
CROWD_MEMORY_MB=${2:-160}
CROWD_CONNECTIONS=4000
shift; [ $# = 0 ] || shift
counts=
while [ $# -gt 0 ] && [ "$1" != -- ]; do counts="$counts $1"; shift; done
[ $# = 0 ] || shift
forms=${*:-whole:60000 whole:1000000 pieces:400000 chunk60000:4200000 chunk1:600000}

play() { # FORM BYTES COUNT
	crowd_begin
	crowd "$1" "$3" "$2" >"$MESH_DIR/said"
	answered=$(sed -n 's/.*ordinary request: //p' "$MESH_DIR/said")
	printf '%-11s %8s %5s  %5s %5s  %s\n' "$1" "$2" "$3" \
	    $(crowd_peaks | awk '{ printf "%d ", $1 / 1024 }') "$answered"
}

printf '%-11s %8s %5s  %5s %5s  %s\n' form bytes peers MB-1 MB-2 ordinary
for form in $forms; do
	for count in ${counts:-240 960 3840}; do
		(play "${form%:*}" "${form#*:}" "$count")
	done
done
