# LOST: requests that come late in a planned stop, on kept and on new connections,
# until the process is gone. Each that was taken is answered whole, and none that
# may have run is cut off or answered as if it had not.
. scripts/mesh.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"drain": {"stop_s": 5},'
mesh_start test/functional/late_in_drain.mv 3 work work other

for n in 1 2; do
	mesh_fake $n slots=500
	mesh_fake $n service_us=600000
done

# Stops proxy 3 in the second second of a load on a route.
play() { # ROUTE
	perl -MIO::Socket::INET -MIO::Select -MTime::HiRes=time,sleep -e '
		my ($at, $pid, $route) = @ARGV;
		my (%in, %id, $n, $told);
		my $next = 0;
		my $s = IO::Select->new;
		my @kept;
		my $stop = time + 1;
		my $end = time + 9;
		sub dial {
			my $c = IO::Socket::INET->new(PeerAddr => $at, Timeout => 1);
			if ($c) { $c->autoflush(1); $s->add($c); }
			return $c;
		}
		sub result {
			my ($c, $what) = @_;
			my $id = delete $id{$c} or return;
			print "$id $what\n";
		}
		push @kept, dial() for 1 .. 150;
		while (time < $end) {
			if (!$told && time > $stop) { kill "TERM", $pid; $told = 1; }
			# One request on an idle kept connection, one on a new one.
			my $due = time > $next;
			$next = time + 0.04 if $due;
			my @idle = grep { $_ && $_->opened && !$id{$_} } @kept;
			push @kept, shift @kept;
			for my $c ($due ? ($idle[0], dial()) : ()) {
				next unless $c;
				my $id = sprintf "$route-%d", ++$n;
				$id{$c} = $id;
				$in{$c} = "";
				{ local $SIG{PIPE} = "IGNORE";
				  print $c "POST /$route/$id HTTP/1.1\r\nHost: x\r\n" .
				      "Magnolia-Request-Id: $id\r\n" .
				      "Content-Length: 0\r\n\r\n"; }
			}
			for my $c ($s->can_read(0.01)) {
				my $got = sysread $c, my $bytes, 65536;
				if (!$got) {
					# Unread if not one byte came back.
					result($c, "closed");
					$s->remove($c); close $c; next;
				}
				$in{$c} .= $bytes;
				next unless $in{$c} =~ /\r\n\r\n/;
				my ($status) = $in{$c} =~ m{^HTTP/1.1 (\d+)};
				my ($length) = $in{$c} =~ /Content-Length: (\d+)/i;
				my ($body) = $in{$c} =~ /\r\n\r\n(.*)/s;
				next if length $body < $length;
				my ($outcome) = $in{$c} =~ /Magnolia-Outcome: (\S+)/;
				result($c, "$status " . ($outcome // "answered"));
				if (grep { $_ && $_ == $c } @kept and
				    $in{$c} !~ /Connection: close/i) { next; }
				$s->remove($c); close $c;
			}
		}
		result($_, "open") for $s->handles;
		' "$(mesh_host 3):$PORT_OUTER" "$(mesh_pid proxy-3)" "$1" >"$MESH_DIR/results"
}

check() {
	total=$(grep -c . "$MESH_DIR/results")
	[ "$total" -ge 60 ] && echo "enough requests" ||
	    echo "only $total requests"
	for n in 1 2; do
		curl -s "http://$(mesh_host $n):$PORT_HTTP/_fake/runs"
	done | awk '/^key/ { print $2 }' | sort -u >"$MESH_DIR/ran"
	lost=$(awk '$2 == "closed" || $2 == "open" { print $1 }' \
	    "$MESH_DIR/results" | sort | comm -12 - "$MESH_DIR/ran" | wc -l)
	false_refusals=$(awk '$3 == "not-run" { print $1 }' \
	    "$MESH_DIR/results" | sort | comm -12 - "$MESH_DIR/ran" | wc -l)
	echo "run and cut off: $lost"
	echo "run and told not to have run: $false_refusals"
	[ "$(grep -c '200 answered' "$MESH_DIR/results")" -ge 20 ] &&
	    echo "answered some"
	grep -q '503 not-run' "$MESH_DIR/results" && echo "refused some"
	return 0
}

echo "== requests of 0.6 s with a deadline of 0.8 s, 5 s until the kill"
play short
check
mesh_wait 10 sh -c "! kill -0 $(mesh_pid proxy-3)" || echo "proxy 3 is still there"
mesh_proxy 3 "$(mesh_region 3)" "$(mesh_dc 3)"
mesh_wait 10 mesh_proxy_has 3 1
echo "== the same with a deadline of 60 s"
play long
check
