# A backend server for functional tests whose answers are set by the path of each
# request, one process a connection:
#
#   perl odd_server.pl HOST PORT ID
#
# /SERVICE/OPTION=VALUE,.../...:
#
#   status    of the answer; 200
#   bytes     of its body; -1: no end
#   framing   length, chunked, or none: it ends with the connection
#   cut       bytes of the body after which it resets the connection
#   headers   number of headers in addition, and of
#   header    bytes of one more
#   keep      value of Keep-Alive
#   not       1: it states that it did not run the request
#   interim   number of responses 103 before, which state that too
#   wait      seconds before its answer
#   early     1: it answers before it has read the body of the request
#   sum       1: the size of the body of the request is printed too
#   endless   part of the answer that does not end: head, field, interim, size,
#             extension, chunkN (chunks of N bytes), trailer, body (without length),
#             foreign (the body of another request's answer), after (bytes after a
#             complete answer)
#
# Each request that it runs is a line on standard output: method, path, number of
# headers, the caller's service, and if there are such headers the workspaces and the
# word KEY. It counts as run once its body was read.
use strict;
use warnings;
use IO::Socket::INET;
use Socket qw(:DEFAULT IPPROTO_TCP TCP_NODELAY);

my ($host, $port, $id) = @ARGV;
$SIG{PIPE} = "IGNORE";
$SIG{CHLD} = "IGNORE";
$| = 1;
my $listener = IO::Socket::INET->new(LocalAddr => $host, LocalPort => $port,
    Listen => 50, ReuseAddr => 1) or die "listen: $!";
my $block = join "", map { pack "N", $_ * 2654435761 % 4294967296 } 1 .. 16383;

sub send_bytes {
	my ($client, $bytes) = @_;
	print $client $bytes or exit;
}

# Sends a body whose parts differ from each other.
sub send_body {
	my ($client, $bytes, $framing) = @_;
	for (my $n = 0; $bytes != 0; $n++) {
		my $part = pack("N", $n) . $block;
		$part = substr $part, 0, $bytes
		    if $bytes >= 0 && $bytes < length $part;
		$bytes -= length $part if $bytes > 0;
		send_bytes($client, $framing eq "chunked" ?
		    sprintf("%x\r\n%s\r\n", length $part, $part) : $part);
	}
	send_bytes($client, "0\r\n\r\n") if $framing eq "chunked";
}

sub reset_connection {
	my ($client) = @_;
	$client->flush;
	setsockopt $client, SOL_SOCKET, SO_LINGER, pack "ii", 1, 0;
	close $client;
	exit;
}

# Writes a part of an answer over and over, until the connection is closed.
sub send_endless {
	my ($client, $ids, $form) = @_;
	my ($bytes) = $form =~ /^chunk(\d+)$/;
	my $chunked = "HTTP/1.1 200 Status\r\nTransfer-Encoding: chunked\r\n" .
	    "X-Magnoliavalve-Response-Signature: 1.2\r\n";
	my $head = "$chunked$ids\r\n";
	my $foreign = $ids =~ s/(-Id: )(?=\w+\r)/$1other-/gr;
	my ($start, $part) = @{{
	    head => ["HTTP/1.1 200 OK\r\n", "X-Header: y\r\n"],
	    field => ["HTTP/1.1 200 OK\r\nX-Field: ", "y"],
	    interim => ["", "HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n\r\n"],
	    size => [$head, "0"],
	    extension => ["${head}3;", "a=b;"],
	    trailer => ["${head}0\r\n", "X-Trailer: y\r\n"],
	    body => ["HTTP/1.1 200 Status\r\nConnection: close\r\n" .
		"X-Magnoliavalve-Response-Signature: 1.2\r\n$ids\r\n", "body "],
	    foreign => ["$chunked$foreign\r\n", "3\r\nabc\r\n"],
	    after => ["HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" .
		"X-Magnoliavalve-Response-Signature: 1.2\r\n$ids\r\nabc", "after "],
	    }->{$form} // [$head, sprintf "%x\r\n%s\r\n", $bytes, "z" x $bytes]};
	my $many = $part x (1 + int 65536 / length $part);
	syswrite $client, $start;
	while (syswrite $client, $many) { }
	exit;
}

sub answer {
	my ($client, $head, %set) = @_;
	my ($try) = $head =~ /^\S+-(?:Attempt|Request)-Id: (\S+)\r$/mi;
	my $ids = "X-Magnoliavalve-Instance-Id: $id\r\n";
	$ids .= "X-Magnoliavalve-Attempt-Id: $try\r\n" .
	    "Magnolia-Request-Id: $try\r\n" if defined $try;
	send_endless($client, $ids, $set{endless}) if defined $set{endless};
	my $not = "X-Magnoliavalve-Not-Executed: 1\r\nMagnolia-Shed: 1\r\n";
	my $text = "HTTP/1.1 103 Early Hints\r\n$ids${not}X-Early: 1\r\n\r\n" x
	    $set{interim};
	$text .= "HTTP/1.1 $set{status} Status\r\n$ids";
	$text .= $not if $set{not};
	$text .= "X-Filler-$_: $_\r\n" for 1 .. $set{headers};
	$text .= "X-Large: " . "a" x $set{header} . "\r\n" if $set{header};
	$text .= "Keep-Alive: $set{keep}\r\n" if defined $set{keep};
	$text .= "X-Magnoliavalve-Response-Signature: 1.2\r\n";
	$text .= $set{framing} eq "chunked" ? "Transfer-Encoding: chunked\r\n" :
	    $set{framing} eq "none" || $set{bytes} < 0 ? "Connection: close\r\n" :
	    "Content-Length: $set{bytes}\r\n";
	send_bytes($client, "$text\r\n");
	send_body($client, $set{cut} // $set{bytes}, $set{framing});
	reset_connection($client) if defined $set{cut};
	$client->flush;
	shutdown $client, 1 if $set{framing} eq "none";
}

# Reads at least a number of bytes.
sub fill {
	my ($client, $in, $bytes) = @_;
	while (length $$in < $bytes) {
		sysread $client, $$in, 65536, length $$in or exit;
	}
}

# Drops the body of a request and returns its size.
sub read_body {
	my ($client, $in, $head) = @_;
	my $size = 0;
	my ($left) = $head =~ /^Content-Length: (\d+)/mi;
	my $chunked = $head =~ /^Transfer-Encoding: *chunked/mi;
	do {
		if ($chunked) {
			fill($client, $in, 1 + length $$in)
			    until $$in =~ s/^([0-9a-f]+)\r\n//i;
			$left = hex $1;
		}
		my $frame = $chunked ? 2 : 0;
		fill($client, $in, ($left // 0) + $frame);
		substr $$in, 0, ($left // 0) + $frame, "";
		$size += $left // 0;
	} while $chunked && $left > 0;
	return $size;
}

sub serve {
	my ($client, $in) = @_;
	$$in =~ s/^(.*?\r\n)\r\n//s or return 0;
	my $head = $1;
	my ($method, $path) = $head =~ /^(\S+) (\S+)/;
	my %set = (status => 200, bytes => 3, framing => "length", headers => 0,
	    header => 0, not => 0, interim => 0, early => 0);
	my ($options) = $path =~ m{^/\w+/([^/]*)};
	$set{$1} = $2 while ($options // "") =~ /(\w+)=([^,]*)/g;
	my ($want) = $head =~ /^\S+-Expected-Instance: (\S+)\r$/mi;
	my $caller = join ",", $head =~ /Caller-Service: (\S+)/gi;
	my $count = () = $head =~ /\n/g;
	@set{qw(status not)} = (421, 1) if defined $want && $want ne $id;
	if ($set{early}) {
		select undef, undef, undef, 0.05;
		answer($client, $head, %set);
		while (sysread $client, my $rest, 65536) { }
		exit;
	}
	my $size = read_body($client, $in, $head);
	my $workspaces = join ",",
	    map { " workspace=$_" } $head =~ /(?:Tenant|Workspace): (\S+)/gi;
	$workspaces .= " KEY" if $head =~ /^(?:X-Magnoliavalve|Magnolia)-Key:/mi;
	$workspaces .= " body=$size" if $set{sum};
	printf "%s %s %d %s%s\n", $method, $path, $count - 1, $caller,
	    $workspaces unless $set{not};
	select undef, undef, undef, $set{wait} if $set{wait};
	answer($client, $head, %set);
	return 1;
}

while (1) {
	my $client = $listener->accept or next;
	setsockopt $client, IPPROTO_TCP, TCP_NODELAY, 1;
	next if fork;
	my $in = "";
	while (sysread $client, $in, 65536, length $in) {
		while (serve($client, \$in)) { }
	}
	exit;
}
