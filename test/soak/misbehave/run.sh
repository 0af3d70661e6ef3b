#!/bin/sh
# Soak whose servers, clients, other writers, disks and clocks misbehave, beside kills and
# pauses of proxies and sources. Prints a line a seed; fails if a rule is broken.
#
#   run.sh BUILD FIRST_SEED SEEDS SECONDS
set -u
cd "$(dirname "$0")/../../.." || exit 1
BUILD=$1
first=$2
seeds=$3
seconds=$4
here=test/soak/misbehave
rc=0

# Faults by seed: a line each, "SECONDS_LATER KIND NAME DURATION".
schedule() { # SEED SECONDS
	perl -e 'srand $ARGV[0];
		for (my $at = 1; $at < $ARGV[1] - 1; ) {
			my $gap = 0.2 + rand 0.8;
			$at += $gap;
			printf "%.2f %s %s %.2f\n", $gap,
			    (qw(KILL KILL STOP STOP STOP TERM))[rand 6],
			    (qw(proxy-1 proxy-2 proxy-3 proxy-4 source-1))[rand 5],
			    0.1 + rand 1.2;
		}' "$1" "$2"
}

play_seed() { # SEED
	. scripts/mesh.sh
	. $here/faults.sh
	MESH_SOURCES=3
	mesh_init "$BUILD"
	# The sanitizers want to be loaded first, which the check of order asks.
	MESH_ENV="LD_PRELOAD=$MESH_BIN_ABS/libodd-os.so ASAN_OPTIONS=verify_asan_link_order=0"
	service() { [ "$1" -le 2 ] && echo alpha || echo beta; }
	start_process() { # NAME
		case $1 in
		proxy-*)
			n=${1#proxy-}
			MESH_PROXY_EXTRA="\"report_ms\": 500,
			    \"dialect\": \"platform\", \"drain\": {\"stop_s\": 3},
			    \"service\": \"$(service "$n")\","
			# Builds before the setting was added refuse it.
			[ -n "${MISBEHAVE_NO_BACKEND:-}" ] ||
			    MESH_PROXY_EXTRA="$MESH_PROXY_EXTRA
				\"backend\": \"$(mesh_host "$n"):$PORT_HTTP\","
			mesh_proxy "$n" "$(mesh_region "$n")" "$(mesh_dc "$n")" ;;
		*) mesh_source "${1#source-}" ;;
		esac
	}
	for n in 1 2 3; do mesh_source $n --bootstrap; done
	for n in 1 2 3 4; do start_process proxy-$n; done
	log=$MESH_DIR/events
	: >"$log"
	life=$((seconds + 6))
	for n in 1 2 3 4; do
		perl -I$here $here/server.pl "$1$n" "$(mesh_host $n)" $PORT_HTTP \
		    $PORT_ADMIN "$(service $n)" "$log" $life &
		echo $! >"$MESH_DIR/server-$n.pid"
	done
	mesh_wait 20 mesh_reported 4 || echo "the proxies did not report"
	mesh_ctl apply --wait $here/rules.mv >"$MESH_DIR/apply" ||
	    cat "$MESH_DIR/apply"
	sleep 1
	clients=
	for n in 1 2 3 4; do
		perl -I$here $here/client.pl "$1$n" "$(mesh_host $n)" $PORT_OUTER \
		    "$(service $n)" "$log" "$seconds" 6 &
		clients="$clients $!"
	done
	# shellcheck disable=SC2046
	perl -I$here $here/writer.pl "$1" "$seconds" $PORT_ADMIN $PORT_HTTP \
	    $(for n in 1 2 3 4; do echo "$(mesh_host $n)=$(service $n)"; done) &
	clients="$clients $!"
	watch_sources &
	watcher=$!
	play_faults "$1" "$seconds" &
	clients="$clients $!"
	play_operator "$seconds" >"$MESH_DIR/operator" &
	clients="$clients $!"
	schedule "$1" "$seconds" >"$MESH_DIR/schedule"
	ended=
	while read -r gap kind name duration; do
		sleep "$gap"
		if mesh_has_ended "$name"; then
			ended="$ended $name"
			start_process "$name"
			continue
		fi
		case $kind in
		STOP)
			kill -STOP "$(mesh_pid "$name")"
			sleep "$duration"
			kill -CONT "$(mesh_pid "$name")" ;;
		*)
			mesh_stop "$name" "$kind"
			start_process "$name" ;;
		esac
	done <"$MESH_DIR/schedule"
	# shellcheck disable=SC2086
	wait $clients
	check_recovery >>"$MESH_DIR/operator"
	kill $watcher
	for name in proxy-1 proxy-2 proxy-3 proxy-4 source-1 source-2 source-3; do
		mesh_has_ended $name && ended="$ended $name"
		kib=$(awk '/VmHWM/ { print $2 }' "/proc/$(mesh_pid $name)/status" \
		    2>/dev/null)
		[ "${kib:-0}" -lt "${MISBEHAVE_MEMORY_KIB:-131072}" ] || ended="$ended $name-has-${kib}-KiB"
	done
	sleep 0.5
	perl $here/check.pl "$log" >"$MESH_DIR/check"
	found=$?
	cat "$MESH_DIR/operator"
	[ ! -s "$MESH_DIR/operator" ] || found=1
	[ -z "$ended" ] || echo "LOST, ended by itself:$ended"
	sed "s/^/seed $1: /" "$MESH_DIR/check"
	[ $found = 0 ] && [ -z "$ended" ] || {
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
