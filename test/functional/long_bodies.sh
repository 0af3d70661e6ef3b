# MIXED: a long answer loses bytes from its middle when its client pauses. Bodies of
# all sizes and framings, to readers that pause, through the own proxy and another:
# each arrives whole, by its hash, or visibly incomplete.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_start test/functional/long_bodies.mv 2 other work
mesh_stop backend-2 KILL

mesh_odd_server 2
mesh_announce 2 work
mesh_wait 10 curl -sf -o /dev/null "$(mesh_url 1 /work/bytes=0/x)" ||
    echo "not served"

# Hash of the body as the server writes it.
expected() { # BYTES
	curl -s "http://$(mesh_host 2):$PORT_HTTP/work/bytes=$1/x" | md5sum
}

# Reads a body through proxy N after a pause; prints what is wrong with it.
read_body() { # N FRAMING BYTES PAUSE_S HASH
	{
		curl -sN -m 20 -w '%{stderr}%{http_code} %{exitcode}\n' \
		    "$(mesh_url "$1" "/work/framing=$2,bytes=$3/x")" 2>"$MESH_DIR/end-$1-$2-$3-$4"
	} | { sleep "$4"; md5sum; } >"$MESH_DIR/sum-$1-$2-$3-$4"
	sum=$(cat "$MESH_DIR/sum-$1-$2-$3-$4")
	end=$(cat "$MESH_DIR/end-$1-$2-$3-$4")
	case "$end" in
	"200 0") [ "$sum" = "$5" ] || echo "$2 $3: complete, with other bytes" ;;
	*) echo "$2 $3: ended $end" ;;
	esac
}

for size in 0 1 262143 262144 262145 1048576 8388608 67108864; do
	hash=$(expected $size)
	pids=
	for framing in length chunked none; do
		for n in 1 2; do
			for pause in 0 0.1 2; do
				[ $size -gt 8388608 ] && [ $pause != 2 ] && continue
				read_body $n $framing $size $pause "$hash" &
				pids="$pids $!"
			done
		done
	done
	wait $pids
	echo "$size bytes: read"
done
