# A ledger that lost its data is replaced; then another one is lost for good.
# Keys keep their stored responses, and the proxies find a leader that is not in
# their settings.
. scripts/mesh.sh
MESH_SOURCES=1
MESH_LEDGERS=3
mesh_init "$BUILD"
mesh_start test/functional/once.mv 3 book

post() { # N KEY
	curl -s -m 9 -X POST -H "Idempotency-Key: $2" --data-binary x \
	    "$(mesh_url "$1" "/book/$2")"
}

ledgers() {
	for i in 1 2 3 4; do
		printf '%s%s:%s' "$([ $i = 1 ] || echo ,)" \
		    "$(mesh_host $((210 + i)))" $PORT_ADMIN
	done
}

is_voter() { # succeeds if replica 4 is a voter with all entries
	[ "$(mesh_counter "$(mesh_host 214):$PORT_ADMIN" replica_commit)" -ge \
	    "$(mesh_counter "$(mesh_host 211):$PORT_ADMIN" replica_commit)" ] &&
	    grep -q 'Changes the voters' "$MESH_DIR"/ledger-*.log
}

echo "# a booking"
post 1 before
echo "# a ledger loses its data and is replaced"
mesh_stop ledger-2 KILL
rm -rf "$MESH_DIR/ledger-2.data"
mesh_ledger 4 --join
mesh_wait 10 "$MESH_BIN/mvctl" -s "$(ledgers)" replace --remove 2 \
    --add 4="$(mesh_host 214):$PORT_CONTROL" || echo "refused"
mesh_wait 20 is_voter || echo "the ledger was not replaced"
sleep 0.5
echo "# another ledger is lost"
mesh_stop ledger-1 KILL
mesh_wait 20 post 2 after
post 2 after
echo "# the first booking again gets its stored response"
post 3 before
echo "runs $(mesh_runs 3 before) $(mesh_runs 3 after)"
