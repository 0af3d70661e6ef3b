# Callers beside planned work: each sends the parts of one request before and after an
# event, on its own connection.
#
#   perl planned_caller.pl TABLE OUTER INNER SECONDS RAN... <MARKS
#
# Reads marks from standard input, one number a line; the first is 0 and is not read.
# Prints "ready" once all parts of mark 0 are sent. At the end of the input, and once
# each request has ended, or after SECONDS, it prints a line for each: its name and "ok",
# or what happened. On standard error it prints what happened to all.
#
# Columns of the table, in any number of blanks:
#
#   name      unique part of the path; the name of a line of the output
#   must      answer: it is answered by the server, which ran it once
#             truth: that, or a refusal that is true; a connection that closes before
#             the request was sent whole, and it did not run
#             may: the same
#             route: the same, or 404 and it did not run
#             cross: the same, or the connection closes and it did not run
#             limit: the same, or 413 and it did not run
#             key: the same, or 409 and not known
#   method
#   path      without the name, which is appended
#   body      bytes of its body: N, or chunked:N; -: none
#   parts     MARK:PART,...; line, head and body are half of these, all that goes before
#             included, all and rest the rest of the request
#   options   -, or a list of: inner, to the inner listener; kept, after an earlier
#             request on its connection; slow=MARK, no byte is read before
#
# RAN are files with the output of odd_server.pl.
use strict;
use warnings;
use IO::Select;
use IO::Socket::INET;
use Socket qw(:DEFAULT IPPROTO_TCP TCP_NODELAY);
use Time::HiRes qw(time);

my ($table, $outer, $inner, $seconds, @ran) = @ARGV;
$SIG{PIPE} = "IGNORE";
$| = 1;

sub make_head {
	my ($method, $target, $body, $key) = @_;
	my $head = "$method $target HTTP/1.1\r\nHost: mesh\r\n";
	$head .= "Idempotency-Key: $key\r\n" if defined $key;
	$head .= "Transfer-Encoding: chunked\r\n" if $body =~ /^chunked/;
	$head .= "Content-Length: $body\r\n" if $body =~ /^\d/;
	return "$head\r\n";
}

sub make_body {
	my ($body) = @_;
	my ($size) = $body =~ /(\d+)$/ or return "";
	return "x" x $size unless $body =~ /^chunked/;
	my $text = "";
	for (my $left = $size; $left > 0; $left -= 16384) {
		my $n = $left < 16384 ? $left : 16384;
		$text .= sprintf "%x\r\n%s\r\n", $n, "x" x $n;
	}
	return "${text}0\r\n\r\n";
}

# Returns the parts of a request as mark and bytes.
sub cut_request {
	my ($r) = @_;
	my $line = "$r->{method} $r->{path}";
	my ($key) = $r->{options} =~ /key=([^,]+)/;
	my $head = make_head($r->{method}, $r->{path}, $r->{body}, $key);
	my $all = $head . make_body($r->{body});
	my %end = (line => length($line) / 2, head => (length($line) + length $head) / 2,
	    body => (length($head) + length $all) / 2);
	my ($from, @parts) = (0);
	for (split /,/, $r->{parts}) {
		my ($mark, $part) = split /:/;
		my $to = int($end{$part} // length $all);
		push @parts, [$mark, substr $all, $from, $to - $from];
		$from = $to;
	}
	$parts[-1][1] .= make_head("GET", "/work/x/piped", "-") if $r->{options} =~ /piped/;
	return @parts;
}

sub dial {
	my ($r) = @_;
	my ($host, $port) = split /:/, $r->{options} =~ /inner/ ? $inner : $outer;
	socket my $c, PF_INET, SOCK_STREAM, 0 or die "socket: $!";
	# The rest of a slow reader's answer waits in the proxy.
	setsockopt $c, SOL_SOCKET, SO_RCVBUF, 32768 if $r->{slow};
	setsockopt $c, IPPROTO_TCP, TCP_NODELAY, 1;
	if (!connect $c, pack_sockaddr_in($port, inet_aton($host))) {
		$r->{end} = "no connection";
		return;
	}
	$r->{c} = IO::Socket::INET->new_from_fd($c, "+<");
	$r->{c}->blocking(0);
}

sub finish {
	my ($r, $end) = @_;
	$r->{end} = $end;
	close $r->{c};
	delete $r->{c};
}

# Takes the bytes of an answer; ends the request at its last one.
sub take {
	my ($r) = @_;
	if (!defined $r->{status}) {
		$r->{in} =~ s{^HTTP/1\.1 1\d\d.*?\r\n\r\n}{}s;
		$r->{in} =~ s{^HTTP/1\.1 (\d+)(.*?\r\n)\r\n}{}s or return;
		@$r{qw(status head got)} = ($1, $2, 0);
		($r->{length}) = $r->{head} =~ /^Content-Length: *(\d+)/mi;
		$r->{left} = $r->{length} // 0;
	}
	while (1) {
		my $n = length $r->{in} < $r->{left} ? length $r->{in} : $r->{left};
		substr $r->{in}, 0, $n, "";
		$r->{left} -= $n;
		$r->{got} += $n;
		return if $r->{left} > 0;
		last if defined $r->{length} || $r->{last_chunk};
		$r->{in} =~ s/^([0-9a-f]+)\r\n//i or return;
		$r->{left} = 2 + hex $1;
		$r->{got} -= 2;
		$r->{last_chunk} = hex $1 == 0;
	}
	if ($r->{earlier}) {
		delete @$r{qw(earlier status head length last_chunk)};
		return;
	}
	my ($outcome) = $r->{head} =~ /^Magnolia-Outcome: *(\S+)/mi;
	finish($r, $r->{status} . (defined $outcome ? " $outcome" : ""));
}

sub receive {
	my ($r) = @_;
	my $n = sysread $r->{c}, $r->{in}, 262144, length $r->{in};
	return if !defined $n && $!{EAGAIN};
	if (!$n) {
		finish($r, defined $r->{status} || $r->{in} ne "" ?
		    "cut" . (defined $r->{status} ? " in $r->{status}" : "") :
		    @{$r->{parts}} || $r->{out} ne "" || $r->{broken} ?
		    "not sent whole" : "closed");
		return;
	}
	take($r);
}

sub send_out {
	my ($r) = @_;
	my $n = syswrite $r->{c}, $r->{out};
	substr $r->{out}, 0, $n, "" if defined $n;
	return if defined $n || $!{EAGAIN};
	# What the proxy has answered is still read.
	$r->{out} = "";
	$r->{broken} = 1;
}

# Returns whether a request ended as it must, given how often it ran.
sub holds {
	my ($r, $runs, $sizes) = @_;
	my ($size) = $r->{body} =~ /(\d+)$/;
	my ($bytes) = $r->{path} =~ /bytes=(\d+)/;
	if ($r->{end} eq "200") {
		$bytes = $r->{got} if $r->{options} =~ /text/;
		return 0 if $r->{got} != ($bytes // 3) || grep { $_ != ($size // 0) } @$sizes;
		return $runs == 1 || ($r->{method} eq "GET" && $runs > 1);
	}
	# The first request with a key may have run, not this one.
	return 0 if $r->{must} eq "answer" || ($runs > 0 && $r->{runs_as} eq $r->{name});
	return 1 if $r->{must} eq "route" && $r->{end} eq "404 not-run";
	return 1 if $r->{must} eq "cross" && $r->{end} eq "closed";
	return 1 if $r->{must} eq "limit" && $r->{end} =~ /^413\b/;
	return 1 if $r->{must} eq "key" && $r->{end} eq "409 unknown";
	return $r->{end} =~ /^(?:503 (?:not-run|refused)|not sent whole|no connection)$/;
}

my @rows;
open my $file, "<", $table or die "$table: $!";
while (<$file>) {
	next if /^\s*(?:#|$)/;
	my %r = (in => "", out => "", end => "");
	@r{qw(name must method path body parts options)} = split;
	($r{runs_as}) = $r{options} =~ /like=([^,]+)/;
	$r{path} .= $r{runs_as} //= $r{name};
	($r{slow}) = $r{options} =~ /slow=(\d+)/;
	$r{parts} = [cut_request(\%r)];
	if ($r{options} =~ /kept/) {
		unshift @{$r{parts}}, [0, make_head("GET", "/work/x/earlier", "-")];
		$r{earlier} = 1;
	}
	push @rows, \%r;
}

my ($mark, $ready, $ended, $marks) = (0, 0, 0, "");
my $deadline = time + $seconds;
while (time < $deadline) {
	my $reads = IO::Select->new;
	my $writes = IO::Select->new;
	my %row;
	$reads->add(\*STDIN) unless $ended;
	for my $r (grep { $_->{end} eq "" } @rows) {
		while ($r->{end} eq "" && @{$r->{parts}} && $r->{parts}[0][0] <= $mark) {
			dial($r) unless $r->{c};
			$r->{out} .= (shift @{$r->{parts}})->[1];
		}
		next unless $r->{c};
		$row{$r->{c}} = $r;
		$writes->add($r->{c}) if $r->{out} ne "";
		$reads->add($r->{c}) unless $mark < ($r->{slow} // 0);
	}
	if (!$ready && !grep { $_->{earlier} || $_->{out} ne "" } @rows) {
		print "ready\n";
		$ready = 1;
	}
	last if $ended && !grep { $_->{end} eq "" } @rows;
	my ($in, $out) = IO::Select::select($reads, $writes, undef, 0.05);
	for my $c (@{$out // []}) {
		send_out($row{$c});
	}
	for my $c (@{$in // []}) {
		if ($c == \*STDIN) {
			$ended = 1 unless sysread STDIN, $marks, 80, length $marks;
			$mark = $1 while $marks =~ s/^(\d+)\n//;
		} else {
			receive($row{$c}) if $row{$c}{c};
		}
	}
}

my (%runs, %sizes);
for (@ran) {
	open my $lines, "<", $_ or next;
	while (<$lines>) {
		my ($name) = m{^\S+ \S*/([^/ ]+) } or next;
		$runs{$name}++;
		push @{$sizes{$name}}, $1 if / body=(\d+)/;
	}
}
for my $r (@rows) {
	my $runs = $runs{$r->{runs_as}} // 0;
	my $what = ($r->{end} eq "" ? "no answer" : $r->{end}) . ", run $runs";
	$what .= ", $r->{got} bytes" if $r->{end} eq "200" || $r->{end} =~ /^cut in/;
	my $sizes = $sizes{$r->{runs_as}} // [];
	$what .= ", body $_" for @$sizes;
	print "$r->{name}: ", holds($r, $runs, $sizes) ? "ok" : $what, "\n";
	print STDERR "$r->{name}: $what\n";
}
