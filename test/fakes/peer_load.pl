# Callers of a proxy, one process each, that read or write without end; and callers with
# small requests, whose times they print.
#
#   perl peer_load.pl FORM HOST:PORT COUNT SECONDS PATH ...
#
# FORM, for callers that take the paths in turn:
#
#   read      reads answers as fast as they come, again once one has ended
#   pause     reads 64 KB each 0.1 s
#   chunkN    sends a body in chunks of N bytes that does not end
#   small     sends 20 requests a second on one connection. Prints how many were
#             asked, how many got 200, and the 50th and 99th percentile of their
#             times in milliseconds; one that is not answered within 3 s counts so
use strict;
use warnings;
use IO::Socket::INET;
use Time::HiRes qw(time sleep);

my ($form, $to, $count, $seconds, @paths) = @ARGV;
$SIG{PIPE} = "IGNORE";
my $end = time + $seconds;
my $number = 0;

sub connect_to {
	return IO::Socket::INET->new(PeerAddr => $to, Timeout => 2);
}

sub head {
	my ($method, $path, $more) = @_;
	return "$method $path/" . ++$number . " HTTP/1.1\r\nHost: x\r\n" .
	    "X-Magnoliavalve-Attempt-Id: a$$.$number\r\n$more\r\n";
}

sub read_all {
	my ($path, $pause) = @_;
	my $socket = connect_to() or return sleep 0.1;
	syswrite $socket, head("GET", $path, "Connection: close\r\n");
	while (time < $end && sysread $socket, my $bytes, 65536) {
		sleep $pause if $pause;
	}
}

sub upload {
	my ($path, $bytes) = @_;
	my $socket = connect_to() or return sleep 0.1;
	my $part = sprintf "%x\r\n%s\r\n", $bytes, "u" x $bytes;
	my $many = $part x (1 + int 65536 / length $part);
	syswrite $socket, head("POST", $path, "Transfer-Encoding: chunked\r\n");
	while (time < $end && syswrite $socket, $many) { }
}

# Asks for small answers at a fixed rate; returns the times, the failed ones as 3 s.
sub ask_small {
	my (@times, $ok, $socket);
	my $next = time + rand 0.05;
	while (time < $end - 3) {
		my $left = $next - time;
		sleep $left if $left > 0;
		$next += 0.05;
		my $began = time;
		my $answer = "";
		$socket ||= connect_to();
		eval {
			local $SIG{ALRM} = sub { die };
			Time::HiRes::alarm(3);
			syswrite $socket, head("GET", $paths[$number % @paths], "")
			    if $socket;
			while ($socket && $answer !~ /\r\n\r\n.../s) {
				sysread $socket, $answer, 4096, length $answer or last;
			}
			Time::HiRes::alarm(0);
		};
		Time::HiRes::alarm(0);
		my $is_ok = $answer =~ m{^HTTP/1.1 200 };
		$ok += $is_ok;
		push @times, $is_ok ? time - $began : 3;
		$socket = undef unless $is_ok;
		# Late requests are asked at once, not left out.
	}
	return ($ok // 0, @times);
}

sub run {
	my ($index) = @_;
	srand $index;
	return print join(" ", ask_small()), "\n" if $form eq "small";
	while (time < $end) {
		my $path = $paths[($index + $number) % @paths];
		if ($form eq "read") { read_all($path, 0); }
		elsif ($form eq "pause") { read_all($path, 0.1); }
		elsif ($form =~ /^chunk(\d+)$/) { upload($path, $1); }
	}
}

my @readers;
for my $index (1 .. $count) {
	my $pid = open my $reader, "-|";
	die "fork: $!" unless defined $pid;
	if (!$pid) {
		run($index);
		exit;
	}
	push @readers, $reader;
}
my ($ok, @times) = (0);
for my $reader (@readers) {
	my ($one, @more) = split " ", join "", <$reader>;
	next unless defined $one;
	$ok += $one;
	push @times, @more;
}
@times = sort { $a <=> $b } @times;
printf "%d %d %.1f %.1f\n", scalar @times, $ok, 1000 * $times[@times / 2],
    1000 * $times[@times * 0.99] if @times;
