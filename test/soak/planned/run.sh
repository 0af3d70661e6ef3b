#!/bin/sh
# Soak of planned work: stops, restarts and reloads of proxies and new versions of the
# rules, in series and at once, while callers use their connections until the process is
# gone. Nothing fails here, so each request that was read is answered whole or refused
# as not run. Prints a line a seed; fails if a promise is broken.
#
#   run.sh BUILD [FIRST_SEED [SEEDS [SECONDS [CALLERS]]]]
set -u
cd "$(dirname "$0")/../../.." || exit 1
BUILD=$1
first=${2:-1}
seeds=${3:-2}
seconds=${4:-14}
callers=${5:-12}
here=test/soak/planned
rc=0

planned_perl() { # NAME ARG ...
	planned_script=$1
	shift
	exec perl -I$here -Itest/soak/misbehave "$here/$planned_script.pl" "$@"
}

service() { [ "$1" -lt 6 ] && echo alpha || echo beta; }

serves() { # N
	for name in alpha beta; do
		curl -sf -m 5 -o /dev/null \
		    "$(mesh_url "$1" "/$name/d8/bytes=100,framing=length/probe")" ||
		    return 1
	done
}

play_seed() { # SEED
	. scripts/mesh.sh
	mesh_init "$BUILD"
	stop_s=$((5 + $1 % 2))
	log=$MESH_DIR/events
	: >"$log"
	mesh_source 1 --bootstrap
	for n in 1 2 3 4 5 6; do
		MESH_PROXY_EXTRA="\"drain\": {\"stop_s\": $stop_s}, \"report_ms\": 500,
		    \"limits\": {\"link_mbps\": $((4 + ($1 + n) % 5))},"
		mesh_proxy_settings $n "$(mesh_region $n)" "$(mesh_dc $n)"
	done
	planned_perl operator "$1" "$seconds" "$MESH_DIR" "$MESH_BIN" \
	    "$(mesh_operators)" $stop_s "$log" &
	operator=$!
	for n in 4 5 6; do
		planned_perl server $n "$(mesh_host $n)" $PORT_HTTP $PORT_ADMIN \
		    $PORT_INNER "$(service $n)" "$log" &
		echo $! >"$MESH_DIR/server-$n.pid"
	done
	for n in 1 2 3 4 5 6; do
		mesh_wait 20 mesh_proxy_has $n 1 || echo "proxy $n has no rules"
		mesh_wait 20 serves $n || echo "proxy $n does not serve"
	done
	clients=
	for n in 1 2 3 4 5 6; do
		planned_perl client "$1" $n "$(mesh_host $n)" $PORT_OUTER "$log" \
		    "$seconds" "$callers" &
		clients="$clients $!"
	done
	: >"$MESH_DIR/go"
	# shellcheck disable=SC2086
	wait $operator $clients
	found=0
	last=$(cat "$MESH_DIR/last")
	for n in 1 2 3 4 5 6; do
		mesh_wait 20 mesh_proxy_has $n "$last" && mesh_wait 20 serves $n || {
			echo "proxy $n does not serve again, or not by version $last"
			found=1
		}
	done
	mesh_ctl show | cmp -s - "$MESH_DIR/v$last.mv" || {
		echo "version $last is not what was accepted"
		found=1
	}
	(planned_perl check $stop_s "$log" "$MESH_DIR"/proxy-*.log) >"$MESH_DIR/check" ||
	    found=1
	sed "s/^/seed $1: /" "$MESH_DIR/check"
	[ $found = 0 ] || {
		echo "seed $1: logs in $MESH_DIR"
		MESH_KEEP=1
		exit 1
	}
	exit 0
}

seed=$first
while [ "$seed" -lt $((first + seeds)) ]; do
	(play_seed "$seed") || rc=1
	seed=$((seed + 1))
done
exit $rc
