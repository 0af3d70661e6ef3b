# What the stand-ins of the misbehaving soak share: bodies that tell whose they are,
# reading of HTTP heads and bodies, and a log of one line an event.
package Odd;
use strict;
use warnings;
use Exporter "import";

our @EXPORT = qw(body_of sum_of pick chance pause read_head read_body note);

# Body of a request or an answer: the id over and over.
sub body_of {
	my ($id, $bytes) = @_;
	return substr "$id|" x (1 + $bytes / (1 + length $id)), 0, $bytes;
}

sub sum_of { return unpack "%32C*", $_[0] }

sub pick { return $_[rand @_] }

sub chance { return rand() < $_[0] }

sub pause { select undef, undef, undef, $_[0] }

# Reads up to the end of a head. What follows it stays in the buffer.
sub read_head {
	my ($socket, $in) = @_;
	while ($$in !~ /\r\n\r\n/) {
		return undef if length $$in > 200000;
		sysread($socket, $$in, 65536, length $$in) or return undef;
	}
	$$in =~ s/^(.*?\r\n)\r\n//s;
	return $1;
}

# Reads a body as a head frames it; undef if it does not arrive whole.
sub read_body {
	my ($socket, $in, $head, $until_close) = @_;
	my $body = "";
	if ($head =~ /^Transfer-Encoding: chunked/mi) {
		while (1) {
			while ($$in !~ /\r\n/) {
				sysread($socket, $$in, 65536, length $$in) or
				    return undef;
			}
			$$in =~ s/^([0-9a-fA-F]+)[^\r]*\r\n// or return undef;
			my $left = hex $1;
			while (length $$in < $left + 2) {
				sysread($socket, $$in, 65536, length $$in) or
				    return undef;
			}
			$body .= substr $$in, 0, $left, "";
			substr $$in, 0, 2, "";
			return $body if $left == 0;
		}
	}
	if ($head =~ /^Content-Length: (\d+)/mi) {
		while (length $$in < $1) {
			sysread($socket, $$in, 65536, length $$in) or
			    return undef;
		}
		return substr $$in, 0, $1, "";
	}
	return "" unless $until_close;
	while (1) {
		my $n = sysread $socket, $$in, 65536, length $$in;
		return undef unless defined $n;
		last unless $n;
	}
	($body, $$in) = ($$in, "");
	return $body;
}

# Appends a line to the log in one write, so that processes can share it.
sub note {
	my ($log, @words) = @_;
	syswrite $log, join(" ", @words) . "\n";
}

1;
