# UNASKED: a request whose target holds a blank or a control character ran with the part
# before it as its path. It is refused, as what is no target at all.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_source 1 --bootstrap
mesh_proxy 1 "$(mesh_region 1)" "$(mesh_dc 1)"
mesh_wait 10 mesh_reported 1 || echo "the proxy did not report"
mesh_odd_server 1
mesh_announce 1 log
mesh_ctl apply --wait "$(mesh_version_file 1)" | sed -n 1p
mesh_wait 10 mesh_proxy_has 1 1 || echo "no rules"

# Sends a request line and prints the status.
ask() { # LINE
	printf '%s: ' "$1"
	printf "$1"'\r\nHost: a\r\nConnection: close\r\n\r\n' |
	    perl -MIO::Socket::INET -e '
		my $s = IO::Socket::INET->new(PeerAddr => $ARGV[0]) or die;
		local $/;
		print $s scalar <STDIN>;
		$s->flush;
		$SIG{ALRM} = sub { print "no answer\n"; exit };
		alarm 4;
		my $answer = <$s> // "";
		print $answer =~ m{^HTTP/1.1 (\d+)} ? "$1\n" : "closed\n";' \
		"$(mesh_host 1):$PORT_OUTER"
}

ask 'GET /log/1 HTTP/1.1'
ask 'GET /log/2?a=1&b=%%00 HTTP/1.1'
ask 'GET /log/\303\251 HTTP/1.1'
ask 'GET /log/3 y HTTP/1.1'
ask 'GET /log/4\000y HTTP/1.1'
ask 'GET /log/5\000 HTTP/1.1'
ask 'GET \000/log/6 HTTP/1.1'
ask 'GET /log/7\001 HTTP/1.1'
ask 'GET /log/8\177 HTTP/1.1'
ask 'GET /log/9\ty HTTP/1.1'
ask 'GET /log/10  HTTP/1.1'
ask 'GET /log/11 HTTP/1.1 y'
ask 'GET log/12 HTTP/1.1'
ask 'GET * HTTP/1.1'
ask 'GET /log/13'
echo "== ran"
cat "$MESH_DIR/ran-1"
