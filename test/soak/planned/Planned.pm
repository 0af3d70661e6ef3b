# One request over a kept connection, checked and logged, for the soak of planned work.
package Planned;
use strict;
use warnings;
use IO::Socket::INET;
use Time::HiRes qw(time alarm);
use Odd;

our @EXPORT = qw(dial exchange stamp);
use Exporter "import";

# Seconds after a deadline at which a caller gives up.
my $patience = 3;

sub stamp { return sprintf "%.4f", time }

sub dial {
	return IO::Socket::INET->new(PeerAddr => $_[0], PeerPort => $_[1],
	    Timeout => 1);
}

# Returns the bytes of a request.
sub bytes_of {
	my ($r) = @_;
	my $body = $r->{body};
	my $head = "$r->{method} $r->{target} HTTP/1.1\r\nHost: x\r\n" .
	    "Magnolia-Request-Id: $r->{id}\r\n";
	return "$head\r\n" unless defined $body;
	return $head . "Content-Length: " . length($body) . "\r\n\r\n$body"
	    unless $r->{chunked};
	return $head . "Transfer-Encoding: chunked\r\n\r\n" . join("",
	    map { sprintf "%x\r\n%s\r\n", length $_, $_ } unpack "(a20000)*", $body) .
	    "0\r\n\r\n";
}

# What a caller saw: whole, wrong, cut, closed, unsent or open; status and outcome.
sub judge {
	my ($r, $sent, $timed_out, $head, $body) = @_;
	return ($timed_out ? "open" : $sent ? "closed" : "unsent", 0, "-")
	    unless defined $head;
	my ($status) = $head =~ m{^HTTP/1.1 (\d+)};
	my ($outcome) = $head =~ /^Magnolia-Outcome: (\S+)/mi;
	my $what = $timed_out ? "open" : !defined $body ? "cut" : $status != 200 ||
	    $body eq body_of($r->{id}, $r->{bytes}) ? "whole" : "wrong";
	return ($what, $status, $outcome // "-");
}

# Sends a request, reads its answer and logs both. The socket becomes undef if it
# cannot be used again.
sub exchange {
	my ($log, $node, $socket, $r) = @_;
	my ($in, $sent, $begun, $sent_at, $head, $body) = ("", 0, stamp());
	my $ended = eval {
		local $SIG{ALRM} = sub { die };
		alarm $r->{deadline} + $patience;
		$$socket->autoflush(0);
		$sent = print({$$socket} bytes_of($r)) && $$socket->flush;
		$sent_at = stamp();
		$head = read_head($$socket, \$in);
		$body = read_body($$socket, \$in, $head) if defined $head;
		1;
	};
	alarm 0;
	my $length = length($r->{body} // "");
	note($log, "got", $r->{id}, $node, $r->{method}, $r->{target},
	    sum_of($r->{body} // ""), $length, $r->{deadline}, $begun,
	    $sent_at // stamp(), stamp(), judge($r, $sent, !$ended, $head, $body));
	$$socket = undef if !defined $body || length $in ||
	    $head =~ /^Connection: close/mi;
}

1;
