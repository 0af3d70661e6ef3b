# REFUSED: a backend server that has run a request answers 503, 429 or 408 with a long
# body, and does not state that it did not run it. The client is never told so,
# whatever the length; one that does state it is refused as not run.
. scripts/mesh.sh
mesh_init "$BUILD"

# Answers /work/STATUS/BYTES/..., with "not" at the end of the path as not executed.
# A body of -1 bytes has no end. Prints the path of each request that it runs.
serve() { # N
	perl -MIO::Socket::INET -e '
		my ($host, $port) = @ARGV;
		$SIG{PIPE} = "IGNORE";
		$SIG{CHLD} = "IGNORE";
		$| = 1;
		my $l = IO::Socket::INET->new(LocalAddr => $host,
		    LocalPort => $port, Listen => 50, ReuseAddr => 1) or
		    die "listen: $!";
		while (1) {
			my $c = $l->accept or next;
			next if fork;
			my $head = "";
			while ($head !~ /\r\n\r\n/) { sysread($c, $head, 4096,
			    length $head) or exit; }
			my ($path, $status, $bytes) =
			    $head =~ m{(/work/(\d+)/(-?\d+)\S*)};
			my ($try) = $head =~ /Attempt-Id: (\S+)/i;
			my $not = $path =~ /not$/;
			print "$path\n" unless $not;
			print $c "HTTP/1.1 $status Status\r\n" .
			    "X-Magnoliavalve-Attempt-Id: $try\r\n" .
			    ($not ? "X-Magnoliavalve-Not-Executed: 1\r\n" : "") .
			    "Connection: close\r\n" .
			    ($bytes < 0 ? "" : "Content-Length: $bytes\r\n") .
			    "\r\n";
			while ($bytes != 0) {
				my $n = $bytes < 0 || $bytes > 8192 ? 8192 :
				    $bytes;
				print $c "a" x $n or exit;
				$bytes -= $n if $bytes > 0;
			}
			close $c;
			exit;
		}' "$(mesh_host "$1")" $PORT_HTTP >>"$MESH_DIR/ran" &
	echo $! >"$MESH_DIR/server-$1.pid"
	curl -s -o /dev/null "http://$(mesh_host "$1"):$PORT_ADMIN/api/instances/i-$1/heartbeat" \
	    -d "{\"service\": \"work\", \"address\": \"$(mesh_host "$1"):$PORT_HTTP\",
	    \"zone\": \"z\", \"version\": \"v1\", \"slots\": 9, \"state\": \"ready\",
	    \"coldRemainingMs\": 0, \"born\": 1000, \"sequence\": 1}"
}

MESH_PROXY_EXTRA='"report_ms": 500, "dialect": "platform", "lease_ms": 60000,'
mesh_source 1 --bootstrap
for n in 1 2; do
	mesh_proxy $n "$(mesh_region $n)" "$(mesh_dc $n)"
done
mesh_wait 20 mesh_reported 2 || echo "the proxies did not report"
mesh_ctl apply --wait test/functional/long_refusals.mv >"$MESH_DIR/apply" ||
    cat "$MESH_DIR/apply"
for n in 1 2; do serve $n; done
sleep 1

for what in run not; do
	echo "== $what executed"
	for status in 503 429 408; do
		for bytes in 0 1000 65536 65537 1000000 -1; do
			path=/work/$status/$bytes/$what
			result=$(curl -s -m 4 -o /dev/null -X POST \
			    -H "X-Magnoliavalve-Attempt-Id: $status.$bytes.$what" \
			    -w '%{http_code}' "$(mesh_url 1 $path)")
			echo "$status: $result, runs" \
			    "$(grep -c "^$path\$" "$MESH_DIR/ran")"
		done
	done | sort | uniq -c
done
