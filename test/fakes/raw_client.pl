# Sends requests byte by byte as a table has them, each on its own connection:
#
#   perl raw_client.pl HOST:PORT SERVICE [PREFIX] <TABLE
#
# A line of the table has four columns between " | ": a label; the method, or a whole
# request line; bytes of the head after the usual fields; bytes of the body. \r \n \t
# \0 \\ and \xNN stand for bytes. @ in a request line stands for the usual target. The
# usual fields are Host and the id of the attempt; a label that begins with "bare" gets
# none of them. Prints label and status.
use strict;
use warnings;
use IO::Socket::INET;

my ($to, $service, $prefix) = @ARGV;
$SIG{PIPE} = "IGNORE";
my %escapes = (r => "\r", n => "\n", t => "\t", 0 => "\0", "\\" => "\\");

sub unescape {
	my ($text) = @_;
	$text =~ s/\\(?:x([0-9a-fA-F]{2})|([rnt0\\]))/defined $1 ? chr hex $1 :
	    $escapes{$2}/ge;
	return $text;
}

sub ask {
	my ($bytes) = @_;
	my $socket = IO::Socket::INET->new(PeerAddr => $to, Timeout => 2)
	    or return "no connection";
	my $answer = "";
	local $SIG{ALRM} = sub { die };
	eval {
		alarm 6;
		print $socket $bytes;
		$socket->flush;
		while ($answer !~ /\r\n\r\n/) {
			sysread $socket, $answer, 65536, length $answer or last;
		}
		alarm 0;
	};
	alarm 0;
	return $answer =~ m{^HTTP/1.1 (\d+)} ? $1 :
	    $answer eq "" ? "closed" : "no status";
}

while (my $line = <STDIN>) {
	chomp $line;
	next if $line =~ /^#|^\s*$/;
	my ($label, $method, $head, $body) = split / \| ?/, "$line ", 4;
	$_ = defined $_ ? $_ =~ s/ +$//r : "" for ($method, $head, $body);
	$label =~ s/ +$//;
	my $target = "/$service/$label";
	my $request = $method =~ / / ? $method =~ s/@/$target/r :
	    "$method $target HTTP/1.1";
	my $usual = $label =~ /^bare/ ? "" : "Host: x\r\n" .
	    "X-Magnoliavalve-Attempt-Id: " . ($prefix // "") . "$label\r\n";
	printf "%-24s %s\n", $label, ask(unescape($request) . "\r\n$usual" .
	    unescape($head) . "\r\n" . unescape($body));
}
