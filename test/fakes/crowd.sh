# Functions of the tests of crowds: two proxies with little memory, and clients of the
# first that send to a server behind each. Sourced after scripts/mesh.sh.
#
# Each check prints whether the proxies live, their peak of resident memory is below the
# memory that their settings give them, their open descriptors are within their limit
# on connections and a reserve, and an ordinary request is answered while the crowd is
# still there.

CROWD_MEMORY_MB=48
CROWD_CONNECTIONS=300
CROWD_RESERVE_FDS=100

crowd_begin() {
	mesh_init "$BUILD"
	# Programs that do not know the limit of memory refuse it.
	crowd_memory=
	"$MESH_BIN/mvproxy" --describe-settings | grep -q limits.memory_mb &&
		crowd_memory="\"memory_mb\": $CROWD_MEMORY_MB,"
	MESH_PROXY_EXTRA="\"report_ms\": 500, \"limits\": {$crowd_memory
	    \"connections\": $CROWD_CONNECTIONS, \"body_bytes\": 8388608},"
	mesh_start test/functional/crowd.mv 2 near far
	for service in near far; do
		mesh_wait 10 curl -sf -o /dev/null "$(mesh_url 1 /$service/x)" ||
		    echo "$service is not served"
	done
}

crowd_check_proxy() { # N
	crowd_proc=/proc/$(mesh_pid "proxy-$1")
	if ! kill -0 "$(mesh_pid "proxy-$1")" 2>/dev/null; then
		echo "  proxy $1 has ended"
		return
	fi
	awk -v n="$1" -v limit=$CROWD_MEMORY_MB '/VmHWM/ {
	    if ($2 / 1024 < limit) print "  proxy " n ": memory holds"
	    else print "  proxy " n ": " int($2 / 1024) " MB" }' "$crowd_proc/status"
	crowd_fds=$(ls "$crowd_proc/fd" | wc -l)
	if [ "$crowd_fds" -lt $((CROWD_CONNECTIONS + CROWD_RESERVE_FDS)) ]; then
		echo "  proxy $1: descriptors hold"
	else
		echo "  proxy $1: $crowd_fds descriptors"
	fi
}

# Peaks of both proxies, in KB.
crowd_peaks() {
	for n in 1 2; do
		awk '/VmHWM/ { print $2 }' "/proc/$(mesh_pid "proxy-$n")/status" 2>/dev/null
	done
}

# Waits until the proxies have read what the crowd sent: their peaks do not change for
# two seconds.
crowd_settle() {
	crowd_same=0
	crowd_before=
	for _ in $(seq 1 120); do
		crowd_now=$(crowd_peaks)
		crowd_same=$((crowd_same + 1))
		[ "$crowd_now" = "$crowd_before" ] || crowd_same=0
		[ $crowd_same -lt 4 ] || return
		crowd_before=$crowd_now
		sleep 0.5
	done
}

crowd() { # FORM COUNT BYTES
	echo "== $2 clients, $1, $3 bytes"
	mkfifo "$MESH_DIR/crowd-end" "$MESH_DIR/crowd-held"
	perl test/fakes/crowd.pl "$1" "$(mesh_host 1):$PORT_OUTER" "$2" "$3" /near/x \
	    /far/x <"$MESH_DIR/crowd-end" >"$MESH_DIR/crowd-held" &
	crowd_pid=$!
	exec 9>"$MESH_DIR/crowd-end"
	read -r crowd_said <"$MESH_DIR/crowd-held"
	[ "$crowd_said" = held ] || echo "the crowd failed"
	crowd_settle
	for n in 1 2; do crowd_check_proxy $n; done
	curl -s -m 20 -o /dev/null -w '  an ordinary request: %{http_code}\n' \
	    "$(mesh_url 1 /near/ordinary)"
	exec 9>&-
	wait $crowd_pid
	rm "$MESH_DIR/crowd-end" "$MESH_DIR/crowd-held"
}
