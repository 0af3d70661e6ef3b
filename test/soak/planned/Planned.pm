# One request over a kept connection, checked and logged, for the soak of planned work.
package Planned;
use strict;
use warnings;
use Exporter "import";
use IO::Socket::INET;
use Time::HiRes qw(time alarm);
use Odd;

our @EXPORT = qw(dial framed exchange stamp);

# Seconds after a deadline at which a caller gives up.
my $patience = 3;

sub stamp { return sprintf "%.4f", time }

sub dial {
	return IO::Socket::INET->new(PeerAddr => $_[0], PeerPort => $_[1],
	    Timeout => 1);
}

# The rest of a message whose body has a length, or comes in chunks.
sub framed {
	my ($body, $chunked) = @_;
	return "Content-Length: " . length($body) . "\r\n\r\n$body" unless $chunked;
	return "Transfer-Encoding: chunked\r\n\r\n" . join("",
	    map { sprintf "%x\r\n%s\r\n", length $_, $_ } unpack "(a9000)*", $body) .
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
	my $upload = $r->{body} // "";
	my $ended = eval {
		local $SIG{ALRM} = sub { die };
		alarm $r->{deadline} + $patience;
		$$socket->autoflush(0);
		$sent = print({$$socket} "$r->{method} $r->{target} HTTP/1.1\r\n" .
		    "Host: x\r\nMagnolia-Request-Id: $r->{id}\r\n" .
		    (defined $r->{body} ? framed($upload, $r->{chunked}) : "\r\n")) &&
		    $$socket->flush;
		$sent_at = stamp();
		$head = read_head($$socket, \$in);
		$body = read_body($$socket, \$in, $head) if defined $head;
		1;
	};
	alarm 0;
	note($log, "got", $r->{id}, $node, $r->{method}, $r->{target}, sum_of($upload),
	    length $upload, $r->{deadline}, $begun, $sent_at // stamp(), stamp(),
	    judge($r, $sent, !$ended, $head, $body));
	$$socket = undef if !defined $body || length $in ||
	    $head =~ /^Connection: close/mi;
}

1;
