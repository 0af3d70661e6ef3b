# A backend server that reads each request head twice, as a strict and as a lenient
# reader would, and says where the two differ:
#
#   perl head_reader.pl HOST PORT ID
#
# The strict reader ends lines at CRLF. The lenient one ends them at CR, LF or CRLF,
# ends a value at a NUL, allows blanks around the name, and takes a line that begins
# with a blank for a part of the one before. Each request is a line on standard output:
#
#   METHOD TARGET from=CALLER,... body=BYTES FLAWS
#
# CALLER is each caller's service that the lenient reader finds. FLAWS are "sound", or
# what is wrong: the readers differ, a name is not a token, a value holds a control
# character, framing fields beside each other, a field twice that may stand once.
# On a request of /SERVICE/echo/... the response repeats the head.
use strict;
use warnings;
use IO::Socket::INET;

my ($host, $port, $id) = @ARGV;
$SIG{PIPE} = "IGNORE";
$SIG{CHLD} = "IGNORE";
$| = 1;
my $listener = IO::Socket::INET->new(LocalAddr => $host, LocalPort => $port,
    Listen => 100, ReuseAddr => 1) or die "listen: $!";
my $token = qr/[!#\$%&'*+\-.^_`|~0-9A-Za-z]+/;
my @single = qw(host content-length transfer-encoding x-magnoliavalve-attempt-id
    x-magnoliavalve-caller-service x-magnoliavalve-deadline-ms
    x-magnoliavalve-expected-instance);

# The fields of a head without its request line: [name, value], ...
sub read_strictly {
	my ($head) = @_;
	return map { /^([^:]*):[ \t]*(.*?)[ \t]*$/s ? [lc $1, $2] :
	    ["no colon", $_] } split /\r\n/, $head;
}

sub read_leniently {
	my ($head) = @_;
	my @fields;
	for my $line (split /\r\n|\r|\n/, $head) {
		$line =~ s/\0.*//s;
		if ($line =~ /^[ \t]/ && @fields) {
			$fields[-1][1] .= " $line";
			next;
		}
		push @fields, $line =~ /^\s*([^:]*?)\s*:[ \t]*(.*?)\s*$/s ?
		    [lc $1, $2] : ["no colon", $line];
	}
	return @fields;
}

sub find_flaws {
	my ($request, $head) = @_;
	my @strict = read_strictly($head);
	my @lenient = read_leniently($head);
	my (%flaws, %count);
	$flaws{"request line"}++ unless $request =~
	    m{^$token [!-~\x80-\xff]+ HTTP/1\.[01]$};
	for my $f (@strict) {
		$flaws{"name"}++ if $f->[0] !~ /^$token$/;
		$flaws{"value"}++ if $f->[1] =~ /[\x00-\x08\x0a-\x1f\x7f]/;
	}
	$flaws{"differs"}++ if join("\n", map { "@$_" } @strict) ne
	    join("\n", map { "@$_" } @lenient);
	$count{$_->[0]}++ for @lenient;
	$flaws{"framing"}++ if $count{"content-length"} &&
	    $count{"transfer-encoding"};
	for (@lenient) {
		$flaws{"framing"}++ if $_->[0] eq "content-length" &&
		    $_->[1] !~ /^\d+$/;
		$flaws{"framing"}++ if $_->[0] eq "transfer-encoding" &&
		    $_->[1] ne "chunked";
	}
	$flaws{"twice"}++ if grep { ($count{$_} // 0) > 1 } @single;
	return join(",", sort keys %flaws) || "sound";
}

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
	printf "%s %s from=%s body=%s %s\n", $method, $target // "",
	    callers($head), $shown, find_flaws($request, $head);
	my $text = $request =~ m{ /\w+/echo} ? "$request\r\n$head\r\n" : "ok\n";
	print $client "HTTP/1.1 200 OK\r\n" .
	    "X-Magnoliavalve-Instance-Id: $id\r\n" .
	    "X-Magnoliavalve-Attempt-Id: " .
	    ($last{"x-magnoliavalve-attempt-id"} // "") . "\r\n" .
	    "X-Magnoliavalve-Response-Signature: 1.2\r\nContent-Length: " .
	    length($text) . "\r\n\r\n$text" or exit;
	$client->flush;
}

while (1) {
	my $client = $listener->accept or next;
	next if fork;
	my $in = "";
	while (1) { serve($client, \$in); }
}
