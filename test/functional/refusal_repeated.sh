# REFUSED, TWICE: a backend server writes an earlier refusal once more on a kept
# connection, before its answer to the next request, or breaks off in its head. No
# caller is told that its request did not run, and none runs at a second server.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_start test/functional/refusal_repeated.mv 2 work work
for n in 1 2; do mesh_stop backend-$n KILL; done

# Refuses a request with "refuse" in its path, and writes that refusal once more
# before the answer to the next request on the connection; with "cut" in the path,
# it breaks off in the head of the copy. Names the requests that it ran on
# standard output.
for n in 1 2; do
	perl -MSocket -MIO::Socket::INET -MIO::Select -e '
		my ($host, $port) = @ARGV;
		$SIG{PIPE} = "IGNORE";
		$| = 1;
		my $l = IO::Socket::INET->new(LocalAddr => $host,
		    LocalPort => $port, Listen => 50, ReuseAddr => 1) or
		    die "listen: $!";
		my $s = IO::Select->new($l);
		my (%in, %again);
		while (1) {
			for my $c ($s->can_read(1)) {
				if ($c == $l) { $s->add($l->accept); next; }
				my $n = sysread($c, my $bytes, 65536);
				if (!$n) {
					$s->remove($c); delete $again{$c};
					close $c; next;
				}
				$in{$c} .= $bytes;
				next unless $in{$c} =~
				    s/^(\w+) (\S+)(.*?)\r\n\r\n//s;
				my ($method, $path, $head) = ($1, $2, $3);
				my ($id) = $head =~ /Magnolia-Request-Id: (\S+)/i;
				if ($path =~ /refuse/) {
					my $named = $path =~ /named/ ?
					    "Magnolia-Request-Id: $id\r\n" : "";
					$again{$c} = "HTTP/1.1 503 Full\r\n" .
					    "Magnolia-Shed: 1\r\n$named" .
					    "Content-Length: 5\r\n\r\nfull\n";
					syswrite $c, $again{$c};
					next;
				}
				my $copy = delete $again{$c} // "";
				print "ran $path\n";
				if ($copy ne "" && $path =~ /cut/) {
					my ($part) = $copy =~
					    /(.*\r\nCont)ent-Length/s;
					syswrite $c, $part;
					setsockopt $c, SOL_SOCKET, SO_LINGER,
					    pack "ii", 1, 0;
					$s->remove($c); close $c; next;
				}
				syswrite $c, $copy . "HTTP/1.1 200 OK\r\n" .
				    "Magnolia-Request-Id: $id\r\n" .
				    "Content-Length: 3\r\n\r\nok\n";
			}
		}' "$(mesh_host $n)" $PORT_HTTP >"$MESH_DIR/ran-$n" &
	echo $! >"$MESH_DIR/server-$n.pid"
	curl -s -X PUT "http://$(mesh_host $n):$PORT_ADMIN/announce" -d "{
	    \"service\": \"work\", \"state\": \"ready\", \"lease_ms\": 60000,
	    \"address\": \"$(mesh_host $n):$PORT_HTTP\"}" >/dev/null
done
sleep 0.5

ask() { # METHOD PATH
	curl -s -m 4 -o /dev/null -D "$MESH_DIR/head" -X "$1" \
	    -w '%{http_code}' "$(mesh_url 1 "/do/$2")"
	tr -d '\r' <"$MESH_DIR/head" | awk 'tolower($1) == "magnolia-outcome:" {
		printf " %s", $2 }'
}

for kind in named bare named-cut bare-cut; do
	echo "== refusals: $kind"
	ask GET first >/dev/null
	false_refusals=0
	twice=0
	answered=0
	for i in $(seq 1 12); do
		ask POST "refuse/$kind/$i" >/dev/null
		result=$(ask POST "$kind/$i")
		runs=$(cat "$MESH_DIR"/ran-* | grep -c "ran /do/$kind/$i\$")
		case "$result" in
		200*) answered=$((answered + 1)) ;;
		503*not-run) [ "$runs" = 0 ] ||
			false_refusals=$((false_refusals + 1)) ;;
		esac
		[ "$runs" -le 1 ] || twice=$((twice + 1))
	done
	echo "told not to have run: $false_refusals, run twice: $twice"
	# One that was cut ends as unknown. The server then gets requests on
	# connections of their own, if the copy names the earlier request.
	[ $kind = bare-cut ] || [ $answered -ge 4 ] ||
	    echo "only $answered answered"
done
