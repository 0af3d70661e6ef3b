# A backend server whose answers are malformed, never end, or come twice. Each
# caller gets its own answer or a true outcome by its deadline, the connection is
# closed, and the proxy's memory stays flat.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_start test/functional/misbehaving.mv 1 work
mesh_stop backend-1 KILL

# A server that behaves as the last part of the path says.
perl -MIO::Socket::INET -MIO::Select -MTime::HiRes=time,sleep -e '
	my ($host, $port) = @ARGV;
	$SIG{PIPE} = "IGNORE";
	my $l = IO::Socket::INET->new(LocalAddr => $host, LocalPort => $port,
	    Listen => 50, ReuseAddr => 1) or die "listen: $!";
	my $s = IO::Select->new($l);
	my (%in, %last, %flood, %next);
	sub answer {
		my ($id, $body) = @_;
		return "HTTP/1.1 200 OK\r\nMagnolia-Request-Id: $id\r\n" .
		    "Content-Length: " . length($body) . "\r\n\r\n$body";
	}
	sub drop {
		my $c = shift;
		$s->remove($c); delete $flood{$c}; close $c;
	}
	while (1) {
		for my $c ($s->can_read(0.01)) {
			if ($c == $l) { $s->add($l->accept); next; }
			my $n = sysread($c, my $bytes, 65536);
			if (!$n) { drop($c); next; }
			$in{$c} .= $bytes;
			next unless $in{$c} =~ s/^GET (\S+)(.*?)\r\n\r\n//s;
			my ($path, $head) = ($1, $2);
			my ($id) = $head =~ /Magnolia-Request-Id: (\S+)/i;
			my $own = answer($id, "$path\n");
			if ($path =~ /huge-header/) {
				syswrite $c, "HTTP/1.1 200 OK\r\nX: " .
				    ("x" x (1 << 20)) . "\r\n\r\n";
			} elsif ($path =~ /no-answer/) {
				$flood{$c} = ["\x00\xffgarbage" x 1000, 0];
			} elsif ($path =~ /endless-head/) {
				syswrite $c, "HTTP/1.1 200 OK\r\n";
				$flood{$c} = ["X-Header: y\r\n" x 500, 0];
			} elsif ($path =~ /endless-body/) {
				syswrite $c, "HTTP/1.1 200 OK\r\n" .
				    "Magnolia-Request-Id: $id\r\n\r\n";
				$flood{$c} = ["body " x 2000, 0];
			} elsif ($path =~ /byte-by-byte/) {
				$flood{$c} = ["H", 0.3];
			} elsif ($path =~ /cut-head-(\d+)/) {
				# Closes in the middle of the head, or after it.
				my $head = "HTTP/1.1 200 OK\r\n" .
				    "Magnolia-Request-Id: $id\r\n" .
				    "Content-Length: 9\r\n\r\n";
				syswrite $c, substr($head, 0, $1);
				drop($c);
				next;
			} elsif ($path =~ /interim/) {
				$flood{$c} = ["HTTP/1.1 100 Go\r\n\r\n" x 100, 0];
			} elsif ($path =~ /twice/ && $last{$c}) {
				# The answer to the request before, once more.
				syswrite $c, $last{$c} . $own;
			} else {
				syswrite $c, $own;
			}
			$last{$c} = $own;
		}
		for my $c ($s->handles) {
			my $f = $flood{$c} or next;
			next if ($next{$c} // 0) > time;
			$next{$c} = time + $f->[1];
			$c->blocking(0);
			my $n = syswrite $c, $f->[0];
			drop($c) if !defined $n && !$!{EAGAIN};
			$c->blocking(1) if $s->exists($c);
		}
	}' "$(mesh_host 1)" $PORT_HTTP &
echo $! >"$MESH_DIR/server.pid"

announce() {
	curl -s -X PUT "http://$(mesh_host 1):$PORT_ADMIN/announce" -d "{
	    \"service\": \"work\", \"state\": \"ready\", \"lease_ms\": 60000,
	    \"address\": \"$(mesh_host 1):$PORT_HTTP\"}" >/dev/null
}

rss_kb() { awk '/^RssAnon/ { print $2 }' "/proc/$(mesh_pid proxy-1)/status"; }

ask() { # PATH
	curl -s -m 4 -o "$MESH_DIR/body" -D "$MESH_DIR/head" \
	    -w '%{http_code} %{time_total}' "$(mesh_url 1 "/get/$1")" \
	    >"$MESH_DIR/code"
	rc=$?
	awk -v rc=$rc '{ printf "%s%s %s", $1, rc == 0 ? "" : " broken off",
	    $2 <= 1.8 ? "in time" : $2 }' "$MESH_DIR/code"
	tr -d '\r' <"$MESH_DIR/head" | awk 'tolower($1) == "magnolia-outcome:" {
		printf " %s", $2 }'
	echo
}

announce
sleep 0.3
echo "== an ordinary answer"
ask ok
cat "$MESH_DIR/body"
before=$(rss_kb)
for mode in huge-header no-answer endless-head endless-body byte-by-byte \
    interim; do
	echo "== $mode"
	ask $mode
	ask $mode
done
after=$(rss_kb)
[ $((after - before)) -lt 2048 ] && echo "memory is flat" ||
    echo "memory grew from $before to $after kB"
echo "== the server closes in the middle of the head of a 200"
for n in 0 5 12 15 17 18 30 48 70 71 72; do
	ask cut-head-$n/a
done | sort | uniq -c | sed 's/^ *//'
curl -s -m 4 -o "$MESH_DIR/body" -w 'head and no body: %{http_code} curl ' \
    "$(mesh_url 1 /get/cut-head-200)"
echo "$?, $(wc -c <"$MESH_DIR/body") bytes"
echo "== the answer to the request before comes once more"
for i in $(seq 1 60); do
	curl -s -m 4 "$(mesh_url 1 "/get/twice/$i")" >"$MESH_DIR/twice-$i" &
	[ $((i % 4)) = 0 ] && sleep 0.05
done
sleep 2
wrong=0
own=0
for i in $(seq 1 60); do
	body=$(cat "$MESH_DIR/twice-$i")
	case "$body" in
	"/get/twice/$i") own=$((own + 1)) ;;
	/get/*) wrong=$((wrong + 1)) ;;
	esac
done
echo "answers of other requests: $wrong"
[ $own -ge 30 ] && echo "most got their own" || echo "only $own got their own"
echo "== and an ordinary answer again"
sleep 2
ask ok
kill -0 "$(mesh_pid proxy-1)" 2>/dev/null || echo "the proxy has ended"
