# Another writer at the control addresses: announcements for other services, of other
# addresses, with odd fields, and leaves of servers that it names.
#
#   perl -IFOLDER writer.pl SEED SECONDS ADMIN_PORT HTTP_PORT HOST=SERVICE ...
use strict;
use warnings;
use IO::Socket::INET;
use Odd;

my ($seed, $seconds, $admin, $http, @vms) = @ARGV;
my @hosts = map { (split /=/)[0] } @vms;
my @services = map { (split /=/)[1] } @vms;
$SIG{PIPE} = "IGNORE";
srand $seed + 77;
my $end = time + $seconds;

# Values that no such field may have.
my @numbers = (-1, 0.5, "1e300", "1e999", "9223372036854775808", "\"1\"", "null",
    "[" x 50 . "]" x 50, "{}", "true");
my @texts = (7, "null", "[" x 3000, "{}", '"\u0000"', "\"\xff\xfe\"");
my %odd = (service => [@texts, '""', '"' . "s" x 5000 . '"'],
    address => [@texts, '"here"', '"127.0.0.1:65536"', '"127.0.0.1:0"'],
    zone => [7, "null"], version => ["[]", "null"], state => [@texts, '"up"'],
    slots => [@numbers, 2**32], coldRemainingMs => [@numbers, 2**32],
    born => [@numbers], sequence => [@numbers]);

while (time < $end) {
	my $at = int rand @hosts;
	my $host = $hosts[$at];
	my $service = $services[$at];
	my $id = "i-x" . int rand 100;
	my %fields = (service => "\"$service\"", address => "\"$host:$http\"",
	    zone => '"z"', version => '"v1"', slots => 30, state => '"ready"',
	    coldRemainingMs => 0, born => time() * 1000 + 1000,
	    sequence => 1 + int rand 50);
	if (chance(0.5)) { # Well formed, of a server that is not here.
		my $other = ($at + 1 + int rand $#hosts) % @hosts;
		if (chance(0.5)) {
			$fields{address} = "\"$hosts[$other]:$http\"";
		} else {
			$fields{service} = pick('"xa15a6b"',
			    $service eq "alpha" ? '"beta"' : '"alpha"');
		}
	} else { # Of the server here, with one field that is not valid.
		my $field = pick(sort keys %fields);
		$fields{$field} = pick(@{$odd{$field}});
		delete $fields{$field} if chance(0.1);
	}
	my $body = "{" . join(",", map { "\"$_\":$fields{$_}" } sort keys %fields) .
	    "}";
	$body = substr $body, 0, rand length $body if chance(0.05);
	my $call = chance(0.05) ? "deregister" : "heartbeat";
	$body = "" if $call eq "deregister" && chance(0.5);
	my $to = IO::Socket::INET->new(PeerAddr => $host, PeerPort => $admin,
	    Timeout => 1);
	if ($to) {
		print $to "POST /api/instances/$id/$call HTTP/1.1\r\nHost: x\r\n" .
		    "Connection: close\r\nContent-Length: " . length($body) .
		    "\r\n\r\n$body";
		$to->flush;
		sysread $to, my $answer, 4096;
	}
	pause(0.02 + rand 0.1);
}
