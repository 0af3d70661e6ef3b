# Sends requests byte by byte as a table has them, each on its own connection:
#
#   perl -Itest/fakes raw_client.pl HOST:PORT SERVICE <TABLE
#
# Columns: a label; the method, or a whole request line; bytes of the head after the
# usual fields; bytes of the body. @ in a request line stands for the usual target.
# The usual fields are Host and the id of the attempt; a label that begins with "bare"
# gets none of them. With the option -get it asks for /SERVICE/answer-LABEL, and uses no
# other column. Prints label, status, what is wrong with the head of the answer if anything
# is, the field X-A, and the body unless it is "ok".
use strict;
use warnings;
use Heads;
use IO::Socket::INET;

my $get = @ARGV > 2 && $ARGV[2] eq "-get";
my ($to, $service) = @ARGV;
$SIG{PIPE} = "IGNORE";

# Returns the body of an answer, or why there is none.
sub read_body {
	my ($head, $rest) = @_;
	return length $rest >= $1 ? substr $rest, 0, $1 : "cut"
	    if $head =~ /^Content-Length: *(\d+)/mi;
	return $rest if $head !~ /^Transfer-Encoding: *chunked/mi;
	my $body = "";
	while ($rest =~ s/^([0-9a-f]+)\r\n//i) {
		my $size = hex $1;
		return $body if $size == 0;
		return "cut" if length $rest < $size + 2;
		$body .= substr $rest, 0, $size, "";
		substr $rest, 0, 2, "";
	}
	return "cut";
}

sub ask {
	my ($bytes) = @_;
	my $socket = IO::Socket::INET->new(PeerAddr => $to, Timeout => 2)
	    or return "no connection";
	my $answer = "";
	local $SIG{ALRM} = sub { die };
	eval {
		alarm 3;
		print $socket $bytes;
		$socket->flush;
		while (sysread $socket, $answer, 65536, length $answer) {
			$answer =~ s{^HTTP/1\.1 100[^\r\n]*\r\n\r\n}{};
			last if $answer =~ m{\r\n\r\n(?:0\r\n\r\n|.*ok\n)}s ||
			    $answer =~ m{^HTTP/1.1 [3-5].*\r\n\r\n}s;
		}
		alarm 0;
	};
	alarm 0;
	return "closed" if $answer eq "";
	return "no status" unless $answer =~
	    m{^HTTP/1\.1 (\d+)[^\r\n]*\r\n(.*?)\r\n\r\n(.*)}s;
	my ($status, $head, $rest) = ($1, $2, $3);
	my $flaws = find_flaws($head);
	my $body = $status >= 300 ? "ok" : read_body($head, $rest);
	$body =~ s/\n$//;
	my ($field) = map { " X-A: '" . escape_bytes($_->[1]) . "'" } grep { $_->[0] eq "x-a" }
	    read_strictly($head);
	return $status . ($field // "") . ($flaws eq "sound" ? "" : " answer: $flaws") .
	    ($body eq "ok" ? "" : " body: '" . escape_bytes($body) . "'");
}

for (read_table(\*STDIN)) {
	my ($label, $method, $head, $body) = @$_;
	my $target = "/$service/" . ($get ? "answer-" : "") . $label;
	($method, $head, $body) = ("GET", "", "") if $get;
	my $request = $method =~ / / ? $method =~ s/@/$target/r :
	    "$method $target HTTP/1.1";
	my $usual = $label =~ /^bare/ ? "" :
	    "Host: x\r\nX-Magnoliavalve-Attempt-Id: $label\r\n";
	printf "%-24s %s\n", $label,
	    ask("$request\r\n$usual" . ($head // "") . "\r\n" . ($body // ""));
}
