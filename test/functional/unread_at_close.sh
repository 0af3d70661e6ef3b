# LOST: a request that arrives while a proxy that leaves does not get the processor, just
# before it closes its connections, is answered or refused, not dropped unread.
. scripts/mesh.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"drain": {"announce_ms": 300, "limit_ms": 8000},'
mesh_start test/functional/unread_at_close.mv 2 work other
mesh_wait 10 curl -sf -o /dev/null "$(mesh_url 2 /work/before)" || echo "not served"
mesh_wait 10 curl -sf -o /dev/null "$(mesh_url 1 /work/before)" || echo "not served"

# The other proxy does not take the end of its stream, so that the first one, which has
# nothing to do, waits for it before it closes.
play() {
	perl -MIO::Socket::INET -MTime::HiRes=sleep -e '
		my ($at, $leaves, $other) = @ARGV;
		sub ask {
			my ($c, $path) = @_;
			local $SIG{PIPE} = "IGNORE";
			print $c "GET $path HTTP/1.1\r\nHost: x\r\n\r\n";
		}
		sub answer {
			my ($c) = @_;
			my $in = "";
			while ($in !~ /\r\n\r\n/) {
				sysread($c, $in, 65536, length $in) or
				    return "closed";
			}
			return $in =~ m{^HTTP/1.1 (\d+)} ? $1 : "not HTTP";
		}
		my $c = IO::Socket::INET->new(PeerAddr => $at) or die;
		$c->autoflush(1);
		ask($c, "/work/kept");
		print answer($c), "\n";
		kill "STOP", $other;
		kill "TERM", $leaves;
		sleep 0.5;
		kill "STOP", $leaves;
		sleep 0.05;
		ask($c, "/work/late");
		sleep 3;
		kill "CONT", $leaves;
		print answer($c), "\n";
		kill "CONT", $other;
		' "$(mesh_host 1):$PORT_OUTER" "$(mesh_pid proxy-1)" "$(mesh_pid proxy-2)"
}
play
