# CONFIG: a member that claims newer rules does not answer: it lost its power, or
# its VM is cut off. Versions come into force in less than 2 s all the same.
. scripts/mesh.sh
MESH_PROXY_EXTRA='"report_ms": 500,'
mesh_init "$BUILD"
mesh_start test/functional/plain.mv 3 log

# Takes connections, and answers nothing.
perl -MIO::Socket::INET -e 'my $s = IO::Socket::INET->new(Listen => 100,
    LocalAddr => $ARGV[0], ReuseAddr => 1) or die "listen: $!"; sleep 60' \
    "$(mesh_host 99):$PORT_CONTROL" &
echo $! >"$MESH_DIR/silent.pid"

# Claims in the name of that member to hold version 1,000.
claim() { # INCARNATION
	for n in 1 2 3; do
		"$MESH_BIN/odd-writer" "$(mesh_host $n):$PORT_CONTROL" udp 1 plain \
		    kind=3 updates=none name=silent host="$(mesh_host 99)" \
		    region="$(mesh_region $n)" dc="$(mesh_dc $n)" peer_port=1 \
		    control_port=$PORT_CONTROL incarnation="$1" version=1000 \
		    >/dev/null
	done
}

now_ms() { perl -MTime::HiRes=time -e 'printf "%d", 1000 * time'; }

# Prints the latest of the proxies to have the version.
apply() { # VERSION
	mesh_ctl apply "$(mesh_version_file "$1")" | sed -n 1p
	start_ms=$(now_ms)
	for n in 1 2 3; do
		mesh_wait 10 mesh_proxy_has $n "$1" || echo "proxy $n has not $1"
	done
	took_ms=$(($(now_ms) - start_ms))
	[ $took_ms -lt 2000 ] || echo "version $1 took $took_ms ms"
}

for version in 2 3 4 5 6 7; do
	claim $version
	sleep 0.2
	apply $version
done
