#!/bin/sh
# Soak of planned work: stops, restarts and reloads of proxies and new versions of the
# rules, in series and at once, while callers use their connections until the process is
# gone. Nothing else happens, so each request that was read is answered whole or refused
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
nodes="1 2 3 4 5 6"
rc=0

planned_perl() { # NAME ARG ...
	planned_script=test/soak/planned/$1.pl
	shift
	exec perl -Itest/soak/planned -Itest/soak/misbehave "$planned_script" "$@"
}

service() { [ "$1" -lt 6 ] && echo alpha || echo beta; }

announce_servers() {
	while sleep 0.3; do
		for n in 4 5 6; do mesh_announce $n "$(service $n)"; done
	done
}

serves() { # N VERSION
	mesh_proxy_has "$1" "$2" || return 1
	for name in alpha beta; do
		curl -sf -m 5 -o /dev/null "$(mesh_url "$1" \
		    "/$name/d8/bytes=100,framing=length/probe")" || return 1
	done
}

wait_served() { # VERSION
	for n in $nodes; do
		mesh_wait 20 serves $n "$1" || {
			echo "SERVES: proxy $n does not serve by version $1"
			found=1
		}
	done
}

play_seed() { # SEED
	. scripts/mesh.sh
	mesh_init "$BUILD"
	stop_s=$((5 + $1 % 2))
	log=$MESH_DIR/events
	found=0
	mesh_source 1 --bootstrap
	for n in $nodes; do
		MESH_PROXY_EXTRA="\"drain\": {\"stop_s\": $stop_s}, \"report_ms\": 500,
		    \"limits\": {\"link_mbps\": $((4 + ($1 + n) % 5))},"
		mesh_proxy_settings $n "$(mesh_region $n)" "$(mesh_dc $n)"
	done
	planned_perl operator "$1" "$seconds" "$MESH_DIR" "$MESH_BIN" \
	    "$(mesh_operators)" $stop_s "$log" &
	operator=$!
	echo $operator >"$MESH_DIR/operator.pid"
	for n in 4 5 6; do
		planned_perl server $n "$(mesh_host $n)" $PORT_HTTP $PORT_INNER "$log" &
		echo $! >"$MESH_DIR/server-$n.pid"
	done
	announce_servers &
	echo $! >"$MESH_DIR/announce.pid"
	wait_served 1
	clients=
	for n in $nodes; do
		planned_perl client "$1" $n "$(mesh_host $n)" $PORT_OUTER "$log" \
		    "$seconds" "$callers" &
		clients="$clients $!"
	done
	: >"$MESH_DIR/go"
	# shellcheck disable=SC2086
	wait $operator $clients
	rm "$MESH_DIR/operator.pid"
	last=$(cat "$MESH_DIR/last")
	wait_served "$last"
	mesh_ctl show | cmp -s - "$MESH_DIR/v$last.mv" || {
		echo "CONFIG: version $last is not what was accepted"
		found=1
	}
	(planned_perl check $stop_s "$log" "$MESH_DIR"/proxy-*.log) >"$MESH_DIR/check" ||
	    found=1
	sed "s/^/seed $1: /" "$MESH_DIR/check"
	[ $found = 0 ] || {
		echo "seed $1: logs in $MESH_DIR"
		MESH_KEEP=1
	}
	exit $found
}

seed=$first
while [ "$seed" -lt $((first + seeds)) ]; do
	(play_seed "$seed") || rc=1
	seed=$((seed + 1))
done
exit $rc
