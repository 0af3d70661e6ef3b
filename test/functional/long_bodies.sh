# MIXED: a long answer loses bytes from its middle when its client pauses. Bodies of
# all sizes and framings, to readers that pause, through the own proxy and another:
# each arrives whole, by its hash, or visibly incomplete.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_start test/functional/long_bodies.mv 2 other work
mesh_stop backend-2 KILL

# Serves /work/FRAMING/BYTES: the bytes are the same for each length.
perl -MIO::Socket::INET -e '
	my ($host, $port) = @ARGV;
	$SIG{PIPE} = "IGNORE";
	$SIG{CHLD} = "IGNORE";
	my $l = IO::Socket::INET->new(LocalAddr => $host, LocalPort => $port,
	    Listen => 50, ReuseAddr => 1) or die "listen: $!";
	my $block = join "", map { pack "N", $_ * 2654435761 % 4294967296 }
	    1 .. 16384;
	while (1) {
		my $c = $l->accept or next;
		next if fork;
		my $head = "";
		while ($head !~ /\r\n\r\n/) { sysread($c, $head, 4096,
		    length $head) or exit; }
		my ($framing, $left) = $head =~ m{/work/(\w+)/(\d+)} or exit;
		my ($id) = $head =~ /Magnolia-Request-Id: (\S+)/i;
		print $c "HTTP/1.1 200 OK\r\nMagnolia-Request-Id: $id\r\n",
		    $framing eq "length" ? "Content-Length: $left\r\n" :
		    $framing eq "chunked" ? "Transfer-Encoding: chunked\r\n" :
		    "", "Connection: close\r\n\r\n";
		my $n = 0;
		while ($left > 0) {
			my $part = pack("N", $n++) . substr $block, 0,
			    $left < 65536 ? $left : 65532;
			$part = substr $part, 0, $left;
			$left -= length $part;
			print $c $framing eq "chunked" ? sprintf("%x\r\n%s\r\n",
			    length $part, $part) : $part;
		}
		print $c "0\r\n\r\n" if $framing eq "chunked";
		close $c;
		exit;
	}' "$(mesh_host 2)" $PORT_HTTP &
echo $! >"$MESH_DIR/server-2.pid"
curl -s -X PUT "http://$(mesh_host 2):$PORT_ADMIN/announce" -d "{
    \"service\": \"work\", \"state\": \"ready\", \"lease_ms\": 60000,
    \"address\": \"$(mesh_host 2):$PORT_HTTP\"}" >/dev/null
mesh_wait 10 curl -sf -o /dev/null "$(mesh_url 1 /work/length/0)" ||
    echo "not served"

# Hash of the body as the server writes it.
expected() { # BYTES
	curl -s "http://$(mesh_host 2):$PORT_HTTP/work/length/$1" | md5sum
}

# Reads a body through proxy N after a pause; prints what is wrong with it.
read_body() { # N FRAMING BYTES PAUSE_S HASH
	{
		curl -sN -m 20 -w '%{stderr}%{http_code} %{exitcode}\n' \
		    "$(mesh_url "$1" "/work/$2/$3")" 2>"$MESH_DIR/end-$1-$2-$3-$4"
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
	for framing in length chunked unframed; do
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
