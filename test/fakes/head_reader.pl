# A backend server that reads each request head twice, strictly and leniently (Heads.pm),
# and says what is wrong with it:
#
#   perl -Itest/fakes head_reader.pl HOST PORT ID [TABLE]
#
# Each request is a line on standard output:
#
#   METHOD TARGET from=CALLER,... body=BYTES [X-A=VALUE] FLAWS
#
# CALLER is each caller's service that the lenient reader finds, FLAWS "sound" or what
# find_flaws says.
#
# With a table, its row LABEL sets the answer to /SERVICE/answer-LABEL: a label, a status
# line, bytes of the head besides the ids and the signature, bytes of the body. The
# connection ends with it.
use strict;
use warnings;
use Heads;
use IO::Socket::INET;

my ($host, $port, $id, $table) = @ARGV;
my %answers;
if (defined $table) {
	open my $file, "<", $table or die "$table: $!";
	$answers{$_->[0]} = $_ for read_table($file);
}
$SIG{PIPE} = "IGNORE";
$SIG{CHLD} = "IGNORE";
$| = 1;
my $listener = IO::Socket::INET->new(LocalAddr => $host, LocalPort => $port,
    Listen => 100, ReuseAddr => 1) or die "listen: $!";

sub callers {
	return join ",", map { $_->[1] }
	    grep { $_->[0] eq "x-magnoliavalve-caller-service" }
	    read_leniently($_[0]);
}

sub more {
	my ($client, $in) = @_;
	sysread $client, $$in, 65536, length $$in or exit;
}

sub read_chunks {
	my ($client, $in) = @_;
	my $body = "";
	while (1) {
		more($client, $in) until $$in =~ /\r\n/;
		$$in =~ s/^([0-9a-f]+)\r\n//i or return "$body bad chunk";
		my $size = hex $1;
		last if $size == 0;
		more($client, $in) until length $$in >= $size + 2;
		$body .= substr $$in, 0, $size, "";
		$$in =~ s/^\r\n// or return "$body bad chunk";
	}
	more($client, $in) until $$in =~ /^\r\n|\r\n\r\n/;
	$$in =~ s/^(.*?)\r\n//s;
	return $1 eq "" ? $body : "$body trailer";
}

sub serve {
	my ($client, $in) = @_;
	more($client, $in) until $$in =~ /\r\n\r\n/;
	$$in =~ s/^(.*?)\r\n(?:(.*?)\r\n)?\r\n//s;
	my ($request, $head) = ($1, $2 // "");
	my ($method, $target) = split / /, $request;
	my %last = map { @$_ } read_strictly($head);
	my $body = "";
	if (defined $last{"transfer-encoding"}) {
		$body = read_chunks($client, $in);
	} elsif (($last{"content-length"} // "") =~ /^(\d+)$/) {
		more($client, $in) until length $$in >= $1;
		$body = substr $$in, 0, $1, "";
	}
	my $shown = $body =~ /^[ -~]{0,20}$/ ? "'$body'" : length $body;
	my $path = escape_bytes($target // "");
	my $flaws = find_flaws($head);
	$flaws = "request line" unless $request =~
	    m{^$Heads::token [!-~\x80-\xff]+ HTTP/1\.[01]$};
	my ($field) = map { "X-A='" . escape_bytes($_->[1]) . "' " } grep { $_->[0] eq "x-a" }
	    read_strictly($head);
	printf "%s %s from=%s body=%s %s%s\n", $method, $path,
	    callers($head), $shown, $field // "", $flaws;
	my $usual = "X-Magnoliavalve-Instance-Id: $id\r\n" .
	    "X-Magnoliavalve-Attempt-Id: " .
	    ($last{"x-magnoliavalve-attempt-id"} // "") . "\r\n" .
	    "X-Magnoliavalve-Response-Signature: 1.2\r\n";
	my ($label) = ($target // "") =~ m{/answer-([^/]*)$};
	my $row = defined $label ? $answers{$label} : undef;
	my (undef, $status, $more, $text) = $row ? @$row :
	    ("", "HTTP/1.1 200 OK", "Content-Length: 3\r\n", "ok\n");
	print $client "$status\r\n$more$usual\r\n" . ($text // "") or exit;
	$client->flush;
	return unless $row;
	shutdown $client, 1;
	exit;
}

while (1) {
	my $client = $listener->accept or next;
	next if fork;
	my $in = "";
	while (1) { serve($client, \$in); }
}
