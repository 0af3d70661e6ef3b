# UNASKED: heartbeats of another writer, for a service that no configuration has,
# for that of another VM, or for another address. None of them replaces the backend
# server: requests that begin on its VM name its service, and it serves on.
. scripts/mesh.sh
mesh_init "$BUILD"

# A backend server that prints the service of the caller of each request.
serve() { # N
	perl -MIO::Socket::INET -MIO::Select -e '
		my ($host, $port, $id) = @ARGV;
		$SIG{PIPE} = "IGNORE";
		$| = 1;
		my $l = IO::Socket::INET->new(LocalAddr => $host,
		    LocalPort => $port, Listen => 50, ReuseAddr => 1) or
		    die "listen: $!";
		my $s = IO::Select->new($l);
		my %in;
		while (1) {
			for my $c ($s->can_read(1)) {
				if ($c == $l) { $s->add($l->accept); next; }
				if (!sysread($c, my $bytes, 65536)) {
					$s->remove($c); close $c; next;
				}
				else { $in{$c} .= $bytes; }
				next unless $in{$c} =~ s/^(.*?)\r\n\r\n//s;
				my $head = $1;
				my ($try) = $head =~ /Attempt-Id: (\S+)/i;
				my ($want) = $head =~ /Expected-Instance: (\S+)/i;
				my $caller = join ",",
				    $head =~ /Caller-Service: (\S+)/gi;
				my $right = !defined $want || $want eq $id;
				print "$caller\n" if $right;
				syswrite $c, "HTTP/1.1 " .
				    ($right ? "200 OK" : "421 Other") . "\r\n" .
				    "X-Magnoliavalve-Attempt-Id: $try\r\n" .
				    "X-Magnoliavalve-Response-Signature: 1.2\r\n" .
				    ($right ? "" :
				    "X-Magnoliavalve-Not-Executed: 1\r\n") .
				    "Content-Length: 3\r\n\r\nok\n";
			}
		}' "$(mesh_host "$1")" $PORT_HTTP "i-$1" >>"$MESH_DIR/callers-$1" &
	echo $! >"$MESH_DIR/server-$1.pid"
}

# Sends a heartbeat to the proxy of VM 1 and prints the status of its response.
beat() { # ID SERVICE ADDRESS BORN SEQUENCE
	curl -s -o /dev/null -w '%{http_code}\n' -X POST \
	    "http://$(mesh_host "${6:-1}"):$PORT_ADMIN/api/instances/$1/heartbeat" \
	    -d "{\"service\": \"$2\", \"address\": \"$3\", \"zone\": \"z\",
	    \"version\": \"v1\", \"slots\": 9, \"state\": \"ready\",
	    \"coldRemainingMs\": 0, \"born\": $4, \"sequence\": $5}"
}

mesh_source 1 --bootstrap
for n in 1 2; do
	service=$([ $n = 1 ] && echo work || echo other)
	MESH_PROXY_EXTRA="\"report_ms\": 500, \"dialect\": \"platform\", \"service\": \"$service\",
	    \"backend\": \"$(mesh_host $n):$PORT_HTTP\","
	mesh_proxy $n "$(mesh_region $n)" "$(mesh_dc $n)"
	serve $n
done
mesh_wait 20 mesh_reported 2 || echo "the proxies did not report"
mesh_ctl apply --wait test/functional/foreign_heartbeat.mv >"$MESH_DIR/apply" ||
    cat "$MESH_DIR/apply"

sequence=0
beat_own() {
	sequence=$((sequence + 1))
	beat i-1 work "$(mesh_host 1):$PORT_HTTP" 1000 $sequence
	beat i-2 other "$(mesh_host 2):$PORT_HTTP" 1000 $sequence 2
}

# Requests that begin on VM 1, to both services.
ask() { # [ARGUMENT OF CURL ...]
	: >"$MESH_DIR/callers-1"
	: >"$MESH_DIR/callers-2"
	for i in 1 2 3 4 5 6 7 8; do
		for path in work other; do
			curl -s -m 4 -o /dev/null -w '%{http_code}\n' \
			    -H "X-Magnoliavalve-Attempt-Id: $path-$i" \
			    "$@" "$(mesh_url 1 /$path/$i)"
		done
	done | sort | uniq -c | awk '{ print "answered " $2 ": " $1 }'
	cat "$MESH_DIR"/callers-* | sort | uniq -c |
	    awk '{ print "caller " $2 ": " $1 }'
}

beat_own >/dev/null
is_served() {
	for path in work other; do
		curl -sf -o /dev/null -H "X-Magnoliavalve-Attempt-Id: 0" \
		    "$(mesh_url 1 /$path/0)" || return 1
	done
}
mesh_wait 10 is_served || echo "not served"
echo "== before"
ask
echo "== a caller that names a service itself"
ask -H "x-magnoliavalve-caller-service: xa15a6b" \
    -H "X-MAGNOLIAVALVE-CALLER-SERVICE: xe3e240" \
    -H "Connection: X-Magnoliavalve-Caller-Service"
echo "== a service that no configuration has"
beat i-x xa15a6b "$(mesh_host 1):$PORT_HTTP" 2000 1
ask
echo "== the same under the id of the server, with a later sequence"
beat_own >/dev/null
beat i-1 xa15a6b "$(mesh_host 1):$PORT_HTTP" 1000 $((sequence + 1))
ask
echo "== the service of another VM"
beat_own >/dev/null
beat i-x other "$(mesh_host 1):$PORT_HTTP" 2000 1
ask
echo "== the address of another VM"
beat_own >/dev/null
beat i-2 work "$(mesh_host 2):$PORT_HTTP" 2000 1
ask
echo "== the server is heard as before"
beat_own
