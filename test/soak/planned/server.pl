# A backend server that answers as the path of a request says, and logs each run:
#
#   perl -I... server.pl NODE HOST PORT INNER_PORT LOG
#
# /SERVICE/ROUTE/OPTION=VALUE,.../ID; bytes and framing (length or chunked) of the body,
# milliseconds to wait before it and over which it drips, and a service to call before.
use strict;
use warnings;
use IO::Socket::INET;
use Odd;
use Planned;

my ($node, $host, $port, $inner, $path) = @ARGV;
$SIG{PIPE} = "IGNORE";
$SIG{CHLD} = "IGNORE";
open my $log, ">>", $path or die "$path: $!";
my $listener = IO::Socket::INET->new(LocalAddr => $host, LocalPort => $port,
    Listen => 200, ReuseAddr => 1) or die "listen: $!";
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
		my $out = "HTTP/1.1 200 OK\r\n" . framed(body_of($id, $set{bytes}),
		    $set{framing} eq "chunked");
		$out = send_slowly($client, $out, $set{drip}) if $set{drip};
		note($log, "done", $id, $node, stamp());
		print $client $out or exit;
		$client->flush or exit;
	}
	exit;
}

while (1) {
	my $client = $listener->accept or next;
	next if fork;
	$client->autoflush(0);
	close $listener;
	serve($client);
}
