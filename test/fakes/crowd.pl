# A crowd of clients of a proxy that begin requests and stay: bodies that stop short of
# their end, or go on past every limit. One process; none of them reads its answer.
#
#   perl crowd.pl FORM HOST:PORT COUNT BYTES PATH ...
#
# FORM, for clients that take the paths in turn; BYTES of body each:
#
#   whole     announces one byte more than it sends, and sends in long writes
#   pieces    the same, 1,000 bytes of each client at a time
#   chunkN    sends chunks of N bytes, and no end
#   announced announces 1 TB
#   idle      sends nothing
#   head      sends a head without end
#
# Prints "held" once each has sent what it has, was closed, or is not read any more,
# then stays until its standard input ends.
use strict;
use warnings;
use IO::Poll qw(POLLOUT POLLHUP POLLERR);
use IO::Socket::INET;
use Socket qw(MSG_NOSIGNAL);
use Time::HiRes qw(time);

my ($form, $to, $count, $bytes, @paths) = @ARGV;

# None of the clients has made progress for this long: the proxy does not read.
use constant STALLED_S => 1;

sub framing {
	return "Content-Length: " . ($bytes + 1) if $form =~ /^(whole|pieces)$/;
	return "Content-Length: 1000000000000" if $form eq "announced";
	return "Transfer-Encoding: chunked";
}

my $part = "u" x 65536;
my ($chunk_bytes) = $form =~ /^chunk(\d+)$/;
if ($chunk_bytes) {
	my $chunk = sprintf "%x\r\n%s\r\n", $chunk_bytes, "u" x $chunk_bytes;
	my $repeat = 1 + int(65536 / length $chunk);
	$part = $chunk x $repeat;
	$bytes = int($bytes / $chunk_bytes) * length $chunk;
}
my $write_bytes = $form eq "pieces" ? 1000 : length $part;

my $poll = IO::Poll->new;
my %clients;
for my $number (1 .. $count) {
	my $socket = IO::Socket::INET->new(PeerAddr => $to) or die "connect: $!";
	my $path = $paths[$number % @paths];
	$socket->blocking(0);
	my $head = "POST $path/$number HTTP/1.1\r\nHost: x\r\n" . framing() . "\r\n\r\n";
	$head = "" if $form eq "idle";
	$head = "GET $path/$number HTTP/1.1\r\nX-Long: " . "h" x 2000 if $form eq "head";
	$clients{$socket} = {
		socket => $socket, head => $head,
		left => $form =~ /^(idle|head)$/ ? 0 : $bytes, at => 0 };
	$poll->mask($socket => POLLOUT);
}

# Sends the next bytes of a client. Returns false once it has sent all, or is closed.
sub send_some {
	my ($client) = @_;
	if (length $client->{head}) {
		my $sent = send $client->{socket}, $client->{head}, MSG_NOSIGNAL;
		return $!{EAGAIN} unless defined $sent;
		substr $client->{head}, 0, $sent, "";
		return 1;
	}
	return 0 if $client->{left} <= 0;
	# The parts follow each other, also where a write has ended within one.
	my $n = length($part) - $client->{at};
	$n = $write_bytes if $n > $write_bytes;
	$n = $client->{left} if $n > $client->{left};
	my $sent = send $client->{socket}, substr($part, $client->{at}, $n), MSG_NOSIGNAL;
	return $!{EAGAIN} unless defined $sent;
	$client->{left} -= $sent;
	$client->{at} = ($client->{at} + $sent) % length $part;
	return 1;
}

my $progress = time;
my $sending = $count;
while ($sending > 0 && time - $progress < STALLED_S) {
	next unless $poll->poll(0.1) > 0;
	$progress = time;
	for my $socket ($poll->handles(POLLOUT | POLLHUP | POLLERR)) {
		next if send_some($clients{$socket});
		$poll->remove($socket);
		$sending--;
	}
}
$| = 1;
print "held\n";
1 while <STDIN>;
