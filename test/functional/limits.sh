# Limits of the rule file on requests of callers; they apply without a restart.
. scripts/mesh.sh
mesh_init "$BUILD"

sed 's/^version 1 .*/version 1 # test/' test/functional/plain.mv \
    >"$MESH_DIR/free.mv"
{
	echo 'version 2 # test'
	echo 'limits headers=2000 body=10000 header_timeout=600ms idle_timeout=1s # test'
	sed 1d test/functional/plain.mv
} >"$MESH_DIR/limited.mv"
mesh_start "$MESH_DIR/free.mv" 1 log

status() { # CURL ARG ...
	curl -s -o /dev/null -w '%{http_code}\n' "$@" "$(mesh_url 1 /log/x)"
}

long=$(head -c 4000 /dev/zero | tr '\0' h)
head -c 20000 /dev/zero >"$MESH_DIR/body"

# Sends a text on a connection and checks how long the proxy takes to close it.
closed_within() { # FROM_MS TO_MS TEXT
	perl -MIO::Socket::INET -MTime::HiRes=time -e '
		my ($host, $from, $to, $text) = @ARGV;
		my $s = IO::Socket::INET->new(PeerAddr => $host) or die;
		my $start = time;
		$text =~ s/\\r\\n/\r\n/g;
		print $s $text; $s->flush;
		$s->sysread(my $answer, 4096) if $text =~ /\r\n\r\n$/;
		my $gone = $s->sysread(my $rest, 4096);
		my $ms = (time - $start) * 1000;
		print $ms >= $from && $ms <= $to ? "closed in time\n"
		    : sprintf("closed after %d ms\n", $ms);
	' "$(mesh_host 1):$PORT_OUTER" "$@"
}

echo "== without limits"
status
status -H "X-Long: $long"
status -X GET --data-binary @"$MESH_DIR/body"
echo "== with limits"
mesh_ctl apply --wait "$MESH_DIR/limited.mv" | head -1
status
status -H "X-Long: $long"
status -X GET --data-binary @"$MESH_DIR/body"
echo "== a body without a Content-Length"
status -X GET -H 'Transfer-Encoding: chunked' --data-binary @"$MESH_DIR/body"
curl -s "http://$(mesh_host 1):$PORT_HTTP/_fake/runs" | head -1
echo "== a request head that does not end"
closed_within 500 1500 'GET /log/x HTTP/1.1\r\nHost: a\r\nX-Slow: '
echo "== a connection without a further request"
closed_within 900 3000 'GET /log/x HTTP/1.1\r\nHost: a\r\n\r\n'
