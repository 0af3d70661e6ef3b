# A backend server that answers as the path of a request says, and logs each run:
#
#   perl -I... server.pl NODE HOST HTTP_PORT ADMIN_PORT INNER_PORT SERVICE LOG
#
# /SERVICE/ROUTE/OPTION=VALUE,.../ID:
#
#   bytes    of the body
#   framing  length or chunked
#   wait     milliseconds before the answer
#   drip     milliseconds over which the body is sent
#   call     service that it calls through its proxy before it answers
use strict;
use warnings;
use IO::Socket::INET;
use Odd;
use Planned;

my ($node, $host, $port, $admin, $inner, $service, $path) = @ARGV;
$SIG{PIPE} = "IGNORE";
$SIG{CHLD} = "IGNORE";
open my $log, ">>", $path or die "$path: $!";
my $listener = IO::Socket::INET->new(LocalAddr => $host, LocalPort => $port,
    Listen => 200, ReuseAddr => 1) or die "listen: $!";

sub announce {
	my $parent = getppid;
	close $listener;
	my $body = qq({"service":"$service","address":"$host:$port",) .
	    qq("state":"ready","lease_ms":3000});
	for (; getppid == $parent; pause(0.3)) {
		my $to = dial($host, $admin) or next;
		print $to "PUT /announce HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" .
		    "Content-Length: " . length($body) . "\r\n\r\n$body";
		sysread $to, my $answer, 4096;
	}
	exit;
}

my $proxy; # Kept connection for calls.

sub call {
	my ($to, $id) = @_;
	$proxy ||= dial($host, $inner) or return;
	exchange($log, $node, \$proxy, {id => $id, method => "GET", bytes => 500,
	    target => "/$to/d3/bytes=500,wait=200,framing=length/$id", deadline => 3});
}

# Sends all but the last part of an answer over a time, and returns that part.
sub send_slowly {
	my ($client, $bytes, $ms) = @_;
	for (my $left = 20; $left > 1; $left--) {
		print $client substr $bytes, 0, length($bytes) / $left, "" or exit;
		$client->flush or exit;
		pause($ms / 20000);
	}
	return $bytes;
}

sub serve {
	my ($client) = @_;
	my $in = "";
	while (defined(my $head = read_head($client, \$in))) {
		my ($method, $target) = $head =~ /^(\S+) (\S+)/ or exit;
		my ($options, $id) = $target =~ m{^/\w+/\w+/([^/]*)/(\S+)$} or exit;
		my %set = map { split /=/ } split /,/, $options;
		my $body = read_body($client, \$in, $head) // exit;
		note($log, "ran", $id, $node, $method, $target, sum_of($body),
		    length $body, stamp());
		pause($set{wait} / 1000) if $set{wait};
		call($set{call}, "$id.call") if $set{call};
		my $answer = body_of($id, $set{bytes});
		my $out = "HTTP/1.1 200 OK\r\n" . ($set{framing} eq "length" ?
		    "Content-Length: $set{bytes}\r\n\r\n$answer" :
		    "Transfer-Encoding: chunked\r\n\r\n" . join("", map { sprintf
			"%x\r\n%s\r\n", length $_, $_ } unpack "(a8000)*", $answer) .
		    "0\r\n\r\n");
		$out = send_slowly($client, $out, $set{drip}) if $set{drip};
		note($log, "done", $id, $node, stamp());
		print $client $out or exit;
		$client->flush or exit;
	}
	exit;
}

unless (fork) { announce() }
while (1) {
	my $client = $listener->accept or next;
	next if fork;
	$client->autoflush(0);
	close $listener;
	serve($client);
}
