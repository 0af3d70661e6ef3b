# Compares what clients sent and got with what servers ran. Prints each broken rule.
#
#   perl check.pl LOG
use strict;
use warnings;

my (%sent, %got, %runs);
my %broken;
my $safe = qr/^(?:GET|HEAD|OPTIONS)$/;

sub broken {
	my ($rule, $what) = @_;
	print "$rule: $what\n" if ++$broken{$rule} <= 5;
}

open my $in, "<", $ARGV[0] or die "$ARGV[0]: $!";
while (<$in>) {
	my ($kind, $id, @rest) = split;
	if ($kind eq "sent") { $sent{$id} = [@rest]; }
	if ($kind eq "got") { $got{$id} = [@rest]; }
	if ($kind eq "ran") { push @{$runs{$id}}, [@rest]; }
}
for my $id (sort keys %runs) {
	my $sent = $sent{$id};
	if (!$sent) {
		broken("UNASKED", "$id was never sent");
		next;
	}
	my ($method, $target, $sum, $length, $service) = @$sent;
	for my $run (@{$runs{$id}}) {
		my ($m, $t, $s, $l, $caller) = @$run;
		broken("UNASKED", "$id ran as $m $t, sent as $method $target")
		    if $m ne $method || $t ne $target;
		broken("UNASKED", "$id ran with another body, $l of $length bytes")
		    if $s ne "early" && ($s ne $sum || $l ne $length);
		broken("UNASKED", "$id ran as from $caller, not $service")
		    if $caller ne $service;
	}
	broken("TWICE", "$id $method ran " . @{$runs{$id}} . " times")
	    if $method !~ $safe && @{$runs{$id}} > 1;
	broken("REFUSED", "$id $method ran and was answered $got{$id}[0]")
	    if $method !~ $safe && $got{$id} &&
	    $got{$id}[0] =~ /^(?:408|421|429|503)$/;
}
for my $id (sort keys %got) {
	my ($status, $what) = @{$got{$id}};
	broken("MIXED", "$id: $status $what")
	    if $what =~ /^(?:unsigned|foreign|wrong-body|extra-bytes)$/;
}
my $good = grep { $_->[1] eq "good" } values %got;
printf "%s: %d sent, %d run, %d answered well\n",
    %broken ? "BROKEN " . join(" ", map { "$_ $broken{$_}" } sort keys %broken) :
    "ok", scalar keys %sent, scalar keys %runs, $good;
exit(%broken || $good < 20 ? 1 : 0);
