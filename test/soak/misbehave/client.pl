# Clients that misbehave by seed: any method, pauses in sending and reading, leaving
# at each stage, half-closed connections, pipelining, odd chunks, expectations.
#
#   perl -IFOLDER client.pl SEED HOST PORT SERVICE LOG SECONDS CLIENTS
#
# Logs each request that is sent and what became of it.
use strict;
use warnings;
use IO::Socket::INET;
use Odd;

my ($seed, $host, $port, $service, $path, $seconds, $clients) = @ARGV;
$SIG{PIPE} = "IGNORE";
open my $log, ">>", $path or die "$path: $!";
my $end = time + $seconds;

my @sizes = (0, 1, 10, 3000, 9000, 70000, 262145, 600000);

sub make_request {
	my ($id) = @_;
	my $method = chance(0.35) ? "GET" : chance(0.85) ? "POST" :
	    pick("SEARCH", "PROPFIND", "PUT", "DELETE", "x", "0!#\$%&'*+-.^_`|~");
	my $target = "/" . pick("alpha", "beta") . "/" . pick(@sizes) . "/$id";
	# A few uploads are longer than what sockets and windows hold.
	my $body = $method eq "GET" ? "" : body_of($id, chance(0.1) ? 5000000 :
	    pick(@sizes[0 .. 6]));
	my $head = "$method $target HTTP/1.1\r\nHost: x\r\n" .
	    "X-Magnoliavalve-Attempt-Id: $id\r\n" .
	    "X-Magnoliavalve-Deadline-Ms: " . pick(800, 2000, 4000) . "\r\n";
	$head .= "X-Magnoliavalve-Caller-Service: xforeign\r\n" if chance(0.1);
	$head .= "X-Pad-$_: " . "p" x 60 . "\r\n" for 1 .. (chance(0.05) ? 140 : 0);
	my $framed;
	if ($method eq "GET") {
		$framed = "\r\n";
	} elsif (chance(0.5)) {
		$head .= "Expect: 100-continue\r\n" if chance(0.1);
		$framed = "Content-Length: " . length($body) . "\r\n\r\n$body";
	} else {
		my $left = $body;
		$framed = "Transfer-Encoding: chunked\r\n\r\n";
		while (length $left) {
			my $part = substr $left, 0, 1 + int rand pick(7, 40000), "";
			$framed .= sprintf "%x\r\n%s\r\n", length $part, $part;
			last if length $framed > 700000;
		}
		$framed .= sprintf "%x\r\n%s\r\n", length $left, $left if length $left;
		$framed .= "0\r\n\r\n";
	}
	note($log, "sent", $id, $method, $target, sum_of($body), length $body,
	    $service);
	return ($head . $framed, $target);
}

# Checks an answer; returns a word for the log.
sub check {
	my ($id, $target, $head, $body) = @_;
	my ($status) = $head =~ m{^HTTP/1.1 (\d+)};
	return "999 no-answer" unless defined $status;
	return "$status cut" unless defined $body;
	return "$status own" if $status < 200 || $status > 299;
	my ($bytes) = $target =~ m{^/\w+/(\d+)};
	return "$status unsigned"
	    unless $head =~ /^X-Magnoliavalve-Response-Signature: 1.2\r/mi;
	return "$status foreign" if
	    $head !~ /^X-Magnoliavalve-Attempt-Id: \Q$id\E\r/mi;
	return "$status wrong-body" if $body ne body_of($id, $bytes);
	return "$status good";
}

sub send_all {
	my ($socket, $bytes) = @_;
	if (chance(0.1)) {
		my $n = int rand 1 + length $bytes;
		print $socket substr $bytes, 0, $n;
		$socket->flush;
		pause(rand 0.6);
		if (chance(0.3)) { close $socket; return 0; }
		$bytes = substr $bytes, $n;
	}
	print $socket $bytes or return 0;
	return $socket->flush;
}

sub run_client {
	my ($number) = @_;
	srand $seed * 1009 + $number;
	my ($socket, $n);
	while (time < $end) {
		if (!$socket || chance(0.1)) {
			$socket = IO::Socket::INET->new(PeerAddr => $host,
			    PeerPort => $port, Timeout => 1);
			if (!$socket) { pause(0.1); next; }
			$socket->autoflush(0);
		}
		my @ids = map { "s$seed.$number." . ++$n } 1 .. (chance(0.1) ? 2 : 1);
		my %targets;
		my $bytes = "";
		for my $id (@ids) {
			my ($request, $target) = make_request($id);
			$bytes .= $request;
			$targets{$id} = $target;
		}
		if (!send_all($socket, $bytes)) {
			note($log, "got", $_, 0, "left") for @ids;
			$socket = undef;
			next;
		}
		shutdown $socket, 1 if chance(0.03);
		if (chance(0.06)) {
			pause(rand 0.3);
			close $socket;
			note($log, "got", $_, 0, "left") for @ids;
			$socket = undef;
			next;
		}
		my $in = "";
		for my $id (@ids) {
			my ($head, $body);
			eval {
				local $SIG{ALRM} = sub { die };
				alarm 8;
				do {
					$head = read_head($socket, \$in);
				} while (defined $head && $head =~ m{^HTTP/1.1 1});
				pause(rand 1) if chance(0.1);
				$body = read_body($socket, \$in, $head, 1)
				    if defined $head;
				alarm 0;
			};
			alarm 0;
			note($log, "got", $id,
			    check($id, $targets{$id}, $head // "", $body));
			if (!defined $body || $head =~ /^Connection: close/mi) {
				$socket = undef;
				last;
			}
		}
		if ($socket && length $in) {
			note($log, "got", "$ids[-1].extra", 200, "extra-bytes");
			$socket = undef;
		}
	}
	exit;
}

my @pids;
for my $number (1 .. $clients) {
	my $pid = fork;
	run_client($number) unless $pid;
	push @pids, $pid;
}
waitpid $_, 0 for @pids;
