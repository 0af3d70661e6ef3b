# Malformed input on every port of a source and a proxy: each is refused, no
# process ends, and requests are served after it.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_start test/functional/plain.mv 1 log

source=$(mesh_host 201)
proxy=$(mesh_host 1)

alive() {
	for name in source-1 proxy-1; do
		kill -0 "$(mesh_pid $name)" 2>/dev/null || echo "$name has ended"
	done
	curl -s -o /dev/null -w 'served %{http_code}\n' "$(mesh_url 1 /log/x)"
}

post() { # URL FILE
	curl -s -w ' %{http_code}\n' --data-binary @"$2" "$1"
}

echo "== a rule file that is not UTF-8 text"
printf 'version 2 # Z\377\n' >"$MESH_DIR/bytes.mv"
post "http://$source:$PORT_HTTP/rules" "$MESH_DIR/bytes.mv"
mesh_ctl check "$MESH_DIR/bytes.mv" 2>&1 | sed "s|$MESH_DIR/||"
alive
echo "== a replacement that replaces nothing"
echo '{}' >"$MESH_DIR/empty.json"
post "http://$source:$PORT_HTTP/replicas" "$MESH_DIR/empty.json"
echo "== announcements"
for body in '' '[' '{}' '{"service":"log","address":"x","state":"ready","lease_ms":1000}' \
    '{"service":"\u0000","address":"1.2.3.4:5","state":"ready","lease_ms":1000}' \
    '{"service":7,"address":"1.2.3.4:5","state":"ready","lease_ms":1000}'; do
	curl -s -o /dev/null -w '%{http_code}\n' -X PUT -d "$body" \
	    "http://$proxy:$PORT_ADMIN/announce"
done
alive
echo "== random bytes on every port, over TCP and UDP"
perl -MIO::Socket::INET -e '
	my $seed = 7;
	sub bytes {
		my ($n) = @_;
		return join "", map {
			$seed = ($seed * 1103515245 + 12345) % 2147483648;
			chr(($seed >> 16) & 255) } 1 .. $n;
	}
	for my $to (@ARGV) {
		for my $n (1, 3, 4, 5, 16, 200, 5000) {
			for my $proto ("tcp", "udp") {
				my $s = IO::Socket::INET->new(PeerAddr => $to,
				    Proto => $proto) or next;
				local $SIG{PIPE} = "IGNORE";
				# A frame of plausible length, then bytes.
				print $s pack("N", $n) . bytes($n); $s->flush;
				print $s bytes(20);
			}
		}
	}' "$source:$PORT_CONTROL" "$source:$PORT_HTTP" "$proxy:$PORT_OUTER" \
    "$proxy:$PORT_INNER" "$proxy:$PORT_PEER" "$proxy:$PORT_CONTROL" \
    "$proxy:$PORT_ADMIN"
alive
