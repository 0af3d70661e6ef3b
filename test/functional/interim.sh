# TWICE, REFUSED: a backend server sends an interim response (1xx) before its answer.
# Nothing that it states counts for the answer, and none of its headers is passed on.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_start test/functional/refusal_repeated.mv 2 work work
for n in 1 2; do mesh_stop backend-$n KILL; done

for n in 1 2; do
	perl -MIO::Socket::INET -MIO::Select -e '
		my ($host, $port) = @ARGV;
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
				if (!sysread $c, my $bytes, 65536) {
					$s->remove($c); close $c; next;
				} else { $in{$c} .= $bytes; }
				next unless $in{$c} =~
				    s/^\w+ (\S+)(.*?)\r\n\r\n//s;
				my ($path, $head) = ($1, $2);
				my ($id) = $head =~ /Magnolia-Request-Id: (\S+)/i;
				print "ran $path\n";
				syswrite $c, ("HTTP/1.1 103 Early Hints\r\n" .
				    "Magnolia-Request-Id: $id\r\n" .
				    "Magnolia-Shed: 1\r\nX-Early: 1\r\n\r\n") x 2 .
				    "HTTP/1.1 200 OK\r\n" .
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

for i in $(seq 1 6); do
	curl -s -m 4 -D "$MESH_DIR/head" -X POST -w '%{http_code} ' \
	    "$(mesh_url 1 "/do/$i")"
	echo "runs: $(cat "$MESH_DIR"/ran-* | grep -c "ran /do/$i\$")" \
	    "early: $(grep -ci x-early "$MESH_DIR/head")"
done | sort | uniq -c
