# A backend server that misbehaves by seed: second answers, whole, cut or late; resets;
# answers without a length, of a wrong length, before the request is read, or long
# refusals.
#
#   perl -IFOLDER server.pl SEED HOST PORT ADMIN_PORT SERVICE LOG SECONDS
#
# It states "not executed" only of requests that it did not run. Logs each run.
use strict;
use warnings;
use IO::Socket::INET;
use Socket;
use Odd;

my ($seed, $host, $port, $admin, $service, $path, $seconds) = @ARGV;
$SIG{PIPE} = "IGNORE";
$SIG{CHLD} = "IGNORE";
open my $log, ">>", $path or die "$path: $!";
my $id = "i-$host";
my $born = time() * 1000;
my $end = time + $seconds;
my $listener = IO::Socket::INET->new(LocalAddr => $host, LocalPort => $port,
    Listen => 200, ReuseAddr => 1) or die "listen: $!";

sub beat {
	for (my $sequence = 1; time < $end; $sequence++) {
		my $to = IO::Socket::INET->new(PeerAddr => $host,
		    PeerPort => $admin, Timeout => 1);
		my $body = qq({"service":"$service","address":"$host:$port",) .
		    qq("zone":"z","version":"v1","slots":30,"state":"ready",) .
		    qq("coldRemainingMs":0,"born":$born,"sequence":$sequence});
		if ($to) {
			print $to "POST /api/instances/$id/heartbeat HTTP/1.1\r\n" .
			    "Host: x\r\nConnection: close\r\nContent-Length: " .
			    length($body) . "\r\n\r\n$body";
			$to->flush;
			sysread $to, my $answer, 4096;
		}
		pause(0.4);
	}
	exit;
}

sub reset_connection {
	my ($client) = @_;
	setsockopt $client, SOL_SOCKET, SO_LINGER, pack "ii", 1, 0;
	close $client;
	exit;
}

my $late = ""; # A second answer that is still to come on this connection.

# Head of an answer; each starts with the id that it is to.
sub head {
	my ($try, $status, $lines) = @_;
	return "HTTP/1.1 $status Status\r\nX-Magnoliavalve-Attempt-Id: $try\r\n" .
	    "X-Magnoliavalve-Instance-Id: $id\r\n" . ($lines // "") .
	    (chance(0.1) ? "Keep-Alive: timeout=" . pick(0, 1, 5, -1, "x",
		"99999999999999999999") . "\r\n" : "");
}

my $signature = "X-Magnoliavalve-Response-Signature: 1.2\r\n";
my $refusal = "X-Magnoliavalve-Not-Executed: 1\r\n";

sub framed { return "Content-Length: " . length($_[0]) . "\r\n\r\n$_[0]" }

sub chunked {
	my ($body) = @_;
	my $out = "Transfer-Encoding: chunked\r\n\r\n";
	while (length $body) {
		my $part = substr $body, 0, 1 + int rand 70000, "";
		$out .= sprintf("%x\r\n%s\r\n", length $part, $part);
	}
	return $out . "0\r\n\r\n";
}

sub answer {
	my ($client, $try, $bytes, $early) = @_;
	my $body = body_of($try, $bytes);
	my $whole = head($try, 200, $signature) .
	    (chance(0.5) ? framed($body) : chunked($body));
	my $what = $early && chance(0.4) ? 69 + int rand 4 : int rand 100;
	if ($late ne "" && chance(0.7)) {
		print $client $late;
		reset_connection($client) if $late !~ /\r\n\r\n/;
		$late = "";
	}
	if ($what < 50) {
		print $client $whole;
	} elsif ($what < 54) { # Once more at once, or cut in its head or body.
		print $client $whole;
		$late = substr $whole, 0, pick(length $whole, 60, 120,
		    int rand length $whole);
	} elsif ($what < 58) { # Interim responses.
		print $client head($try, 103, pick($refusal, $signature, "")) .
		    "\r\n" for 0 .. int rand 2;
		print $client $whole;
	} elsif ($what < 63) { # Cut in the head or in the body.
		print $client substr $whole, 0, int rand length $whole;
		reset_connection($client) if chance(0.6);
		close $client;
		exit;
	} elsif ($what < 69) { # Without a length, whole.
		print $client head($try, 200, $signature) .
		    "Connection: close\r\n\r\n$body";
		shutdown $client, 1;
		while (sysread $client, my $rest, 65536) { }
		exit;
	} elsif ($what < 73) { # Without a length, reset on the way.
		print $client head($try, 200, $signature) .
		    "Connection: close\r\n\r\n" .
		    substr $body, 0, int rand 1 + length $body;
		$client->flush;
		pause(rand 0.05);
		reset_connection($client);
	} elsif ($what < 76) { # More than the length says.
		print $client head($try, 200, $signature) . framed($body) .
		    "more than it says";
	} elsif ($what < 79) { # Less than the length says.
		print $client head($try, 200, $signature) . "Content-Length: " .
		    ($bytes + 100) . "\r\n\r\n$body";
		close $client;
		exit;
	} elsif ($what < 84) { # A refusal of what has run, also long.
		print $client head($try, pick(503, 429, 408)) .
		    framed("x" x pick(0, 20, 70000, 1000000));
	} elsif ($what < 88) {
		print $client head($try, 500) . framed("failed");
	} elsif ($what < 91) { # Bytes that are no answer.
		print $client join "", map { chr rand 256 } 1 .. 1 + rand 300;
		close $client;
		exit;
	} elsif ($what < 95) { # In small parts.
		print $client substr $whole, 0, 1 + rand 40, "" and
		    pause(0.01) for 1 .. 8;
		print $client $whole;
	} elsif ($what < 97) { # The answer to another request.
		print $client head("other", 200, $signature) . framed($body);
		print $client $whole if chance(0.5);
	} else { # No answer.
		pause(1 + rand 2);
		reset_connection($client);
	}
}

sub serve {
	my ($client) = @_;
	my $in = "";
	$client->autoflush(1);
	while (defined(my $head = read_head($client, \$in))) {
		my ($method, $target) = $head =~ /^(\S+) (\S+)/ or exit;
		my ($try) = $head =~ /^X-Magnoliavalve-Attempt-Id: (\S+)/mi;
		my ($caller) =
		    $head =~ /^X-Magnoliavalve-Caller-Service: ?(\S*)/mi;
		my ($want) =
		    $head =~ /^X-Magnoliavalve-Expected-Instance: (\S+)/mi;
		my ($bytes) = $target =~ m{^/\w+/(\d+)};
		$try //= "none";
		$bytes //= 0;
		if (defined $want && $want ne $id) {
			print $client head($try, 421, $refusal) . framed("other");
			exit;
		}
		if (chance(0.08)) { # Full: it does not run it.
			exit unless defined read_body($client, \$in, $head);
			my $no = head($try, pick(503, 503, 429), $refusal) .
			    framed("x" x pick(0, 10, 70000));
			print $client $no;
			$late = substr $no, 0, pick(length $no, 130, 150)
			    if chance(0.3);
			next;
		}
		my ($length) = $head =~ /^Content-Length: (\d+)/mi;
		my $long = $head =~ /^Transfer-Encoding/mi ||
		    ($length // 0) > 1000000;
		my $early = chance($long ? 0.3 : 0.05);
		note($log, "ran", $try, $method, $target, "early", 0,
		    $caller // "-") if $early;
		my $body = $early ? "" : read_body($client, \$in, $head);
		exit unless defined $body;
		note($log, "ran", $try, $method, $target, sum_of($body),
		    length $body, $caller // "-") unless $early;
		pause(rand 0.05);
		answer($client, $try, $bytes, $early);
		$client->flush;
		exit if $early && !defined read_body($client, \$in, $head);
	}
	exit;
}

unless (fork) { beat() }
alarm $seconds + 5;
for (my $n = 0; time < $end; $n++) {
	my $client = $listener->accept or next;
	next if fork;
	srand $seed * 100003 + $n;
	alarm 30;
	serve($client);
}
