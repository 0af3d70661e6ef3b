# A backend server for functional tests whose answers are set by the path of each
# request, one process a connection:
#
#   perl odd_server.pl HOST PORT ID
#
# /SERVICE/OPTION=VALUE,.../...: status; bytes (of the body; -1: no end); headers
# (their number); header (bytes of one more); keep (value of Keep-Alive); not (1: it
# states that it did not run the request). Each request that it runs is a line on
# standard output: method, path, number of headers, and the caller's service.
use strict;
use warnings;
use IO::Socket::INET;

my ($host, $port, $id) = @ARGV;
$SIG{PIPE} = "IGNORE";
$SIG{CHLD} = "IGNORE";
$| = 1;
my $listener = IO::Socket::INET->new(LocalAddr => $host, LocalPort => $port,
    Listen => 50, ReuseAddr => 1) or die "listen: $!";

sub answer {
	my ($client, $head) = @_;
	my ($method, $path) = $head =~ /^(\S+) (\S+)/;
	my %set = (status => 200, bytes => 3, headers => 0, header => 0, not => 0);
	my ($options) = $path =~ m{^/\w+/([^/]*)};
	$set{$1} = $2 while ($options // "") =~ /(\w+)=([^,]*)/g;
	my ($try) = $head =~ /^\S+-(?:Attempt|Request)-Id: (\S+)\r$/mi;
	my ($want) = $head =~ /^\S+-Expected-Instance: (\S+)\r$/mi;
	my $caller = join ",", $head =~ /Caller-Service: (\S+)/gi;
	my $count = () = $head =~ /\n/g;
	@set{qw(status not)} = (421, 1) if defined $want && $want ne $id;
	printf "%s %s %d %s\n", $method, $path, $count - 1, $caller
	    unless $set{not};
	my $text = "HTTP/1.1 $set{status} Status\r\n";
	$text .= "X-Magnoliavalve-Attempt-Id: $try\r\n" .
	    "Magnolia-Request-Id: $try\r\n" if defined $try;
	$text .= "X-Magnoliavalve-Not-Executed: 1\r\n" if $set{not};
	$text .= "X-Magnoliavalve-Instance-Id: $id\r\n";
	$text .= "Content-Length: $set{bytes}\r\n" if $set{bytes} >= 0;
	$text .= "X-Filler-$_: $_\r\n" for 1 .. $set{headers};
	$text .= "X-Large: " . "a" x $set{header} . "\r\n" if $set{header};
	$text .= "Keep-Alive: $set{keep}\r\n" if defined $set{keep};
	$text .= "X-Magnoliavalve-Response-Signature: 1.2\r\n";
	print $client "$text\r\n" . "a" x ($set{bytes} > 0 ? $set{bytes} : 0) or
	    exit;
	while ($set{bytes} < 0) { print $client "a" x 8192 or exit; }
	$client->flush;
}

while (1) {
	my $client = $listener->accept or next;
	next if fork;
	my $in = "";
	while (sysread $client, $in, 65536, length $in) {
		while ($in =~ s/^(.*?\r\n)\r\n//s) {
			my $head = $1;
			my ($left) = $head =~ /^Content-Length: (\d+)/mi;
			$left //= 0;
			while (length $in < $left) {
				sysread $client, $in, 65536, length $in or exit;
			}
			substr $in, 0, $left, "";
			answer($client, $head);
		}
	}
	exit;
}
