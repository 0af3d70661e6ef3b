# Acks, CONFIG: the disks of five sources are full for some seconds each, one after
# another and never two at once, while changes go on. A source with a full disk passes
# changes on at once. Soon after the last has room again, every source accepts changes
# and answers reads.
. scripts/mesh.sh
MESH_SOURCES=5
ROUNDS=${ROUNDS:-2}
mesh_init "$BUILD"

# Starts source N again whenever it ends, as the platform does. Its name sorts
# before the source, so that it is ended first.
supervise() { # N
	(
		while :; do
			mesh_forming_source "$1" "$(cat "$MESH_DIR/first_start")"
			wait
			echo "$?" >>"$MESH_DIR/ends-$1"
			sleep 0.2
		done
	) &
	echo $! >"$MESH_DIR/a-supervisor-$1.pid"
}

version=0
apply_next() {
	version=$((version + 1))
	mesh_wait 15 mesh_ctl apply "$(mesh_version_file $version)" ||
	    echo "version $version is not accepted"
}

storage_fails() { # N
	[ "$(mesh_counter "$(mesh_host $((200 + $1))):$PORT_HTTP" \
	    replica_storage_failed)" = 1 ]
}

echo true >"$MESH_DIR/first_start"
for n in 1 2 3 4 5; do supervise $n; done
for n in 1 2 3 4 5; do
	mesh_wait 20 mesh_is_voter $n || echo "source $n is no voter"
done
echo false >"$MESH_DIR/first_start"
apply_next

full=0
passed_on=0
for round in $(seq 1 "$ROUNDS"); do
	for n in 1 2 3 4 5; do
		pid=$(mesh_pid source-$n)
		prlimit --pid "$pid" --fsize=1:unlimited
		for i in 1 2 3 4 5; do
			apply_next
			sleep 0.2
		done
		storage_fails $n && full=$((full + 1))
		version=$((version + 1))
		# An operator moves on after a second.
		timeout 1 "$MESH_BIN/mvctl" -s "$(mesh_host $((200 + n))):$PORT_HTTP" \
		    apply "$(mesh_version_file $version)" >/dev/null &&
		    passed_on=$((passed_on + 1)) || version=$((version - 1))
		prlimit --pid "$pid" --fsize=unlimited:unlimited
	done
done
echo "disks that were full: $full"
echo "changes passed on: $passed_on"

echo "== 3 s after the last has room again"
sleep 3
for n in 1 2 3 4 5; do
	mesh_is_voter $n || echo "source $n is no voter"
	version=$((version + 1))
	"$MESH_BIN/mvctl" -s "$(mesh_host $((200 + n))):$PORT_HTTP" apply \
	    "$(mesh_version_file $version)" | sed 's/^version [0-9]*: //'
	"$MESH_BIN/mvctl" -s "$(mesh_host $((200 + n))):$PORT_HTTP" show |
	    grep -q "^version $version " || echo "source $n has not the last version"
done
echo "== ends of the sources, one for each full disk"
for n in 1 2 3 4 5; do wc -l <"$MESH_DIR/ends-$n"; done
