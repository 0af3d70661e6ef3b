# MIXED: a backend server answers an upload before it has read it, without a length,
# and resets the connection in the middle of its answer. The client never gets the part
# as a whole answer; one that is whole is passed on.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_start test/functional/early_answers.mv 2 other work
mesh_stop backend-2 KILL

# Answers /up/cut with 5,000 of 9,000 bytes and a reset, /up/whole with all of them
# and the regular end of the connection.
perl -MSocket -MIO::Socket::INET -e '
	my ($host, $port) = @ARGV;
	$SIG{PIPE} = "IGNORE";
	$SIG{CHLD} = "IGNORE";
	my $l = IO::Socket::INET->new(LocalAddr => $host, LocalPort => $port,
	    Listen => 50, ReuseAddr => 1) or die "listen: $!";
	while (1) {
		my $c = $l->accept or next;
		next if fork;
		my $head = "";
		while ($head !~ /\r\n\r\n/) { sysread($c, $head, 4096,
		    length $head) or exit; }
		my ($id) = $head =~ /Magnolia-Request-Id: (\S+)/i;
		my $cut = $head =~ m{/up/cut};
		select undef, undef, undef, 0.05;
		syswrite $c, "HTTP/1.1 200 OK\r\nMagnolia-Request-Id: $id\r\n" .
		    "Connection: close\r\n\r\n" . "a" x ($cut ? 5000 : 9000);
		if ($cut) {
			setsockopt $c, SOL_SOCKET, SO_LINGER, pack "ii", 1, 0;
			close $c;
			exit;
		}
		shutdown $c, 1;
		while (sysread $c, my $rest, 65536) {}
		exit;
	}' "$(mesh_host 2)" $PORT_HTTP &
echo $! >"$MESH_DIR/server-2.pid"
curl -s -X PUT "http://$(mesh_host 2):$PORT_ADMIN/announce" -d "{
    \"service\": \"work\", \"state\": \"ready\", \"lease_ms\": 60000,
    \"address\": \"$(mesh_host 2):$PORT_HTTP\"}" >/dev/null
sleep 0.5
head -c 20000000 /dev/zero >"$MESH_DIR/body"

for n in 1 2; do
	for kind in whole cut; do
		for framing in length chunked; do
			[ $framing = chunked ] &&
			    set -- -H "Transfer-Encoding: chunked" || set --
			for i in 1 2 3 4 5; do
				curl -s -m 8 -H "Expect:" "$@" \
				    -o "$MESH_DIR/answer" -w '%{http_code} %{exitcode}' \
				    --data-binary @"$MESH_DIR/body" \
				    "$(mesh_url $n /up/$kind)" >"$MESH_DIR/end"
				case "$(cat "$MESH_DIR/end")" in
				"200 0") echo "answered, $(wc -c <"$MESH_DIR/answer") bytes" ;;
				*) echo "not whole" ;;
				esac
			done | sort | uniq -c | sed "s/^ */proxy $n, $kind, $framing: /"
		done
	done
done
