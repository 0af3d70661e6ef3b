# GONE: callers leave behind unread bytes, or in the middle of a response that waits
# for its backend server. The backend server must notice within half a second.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_start test/functional/gone.mv 2 work other

cancelled() { grep -c "Cancelled GET $1" "$MESH_DIR/backend-1.log"; }

# Sends requests to node 2, 0.15 s apart, and leaves.
visit() { # PATH ...
	perl -MIO::Socket::INET -MTime::HiRes=sleep -e '
		my $c = IO::Socket::INET->new(shift) or die;
		$c->autoflush(1);
		for (@ARGV) {
			print $c "GET $_ HTTP/1.1\r\nHost: x\r\n\r\n";
			sleep 0.15;
		}
		close $c;' "$(mesh_host 2):$PORT_OUTER" "$@"
}

mesh_fake 1 stall=1
echo "== another request is unread"
visit /get/unread /get/next
sleep 0.5
echo "cancelled $(cancelled /get/unread)"
mesh_fake 1 stall=0
echo "== the response has begun"
mesh_fake 1 response_bytes=1000000
mesh_fake 1 pause_at_bytes=200000
visit /get/begun
sleep 0.5
echo "cancelled $(cancelled /get/begun)"
mesh_fake 1 pause_at_bytes=0
mesh_fake 1 response_bytes=0
echo "== the proxies serve on"
curl -s -o /dev/null -w '%{http_code}\n' "$(mesh_url 2 /get/last)"
