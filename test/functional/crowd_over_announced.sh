# LOST: crowds that announce bodies far over the limit are refused.
. scripts/mesh.sh
. test/fakes/crowd.sh
crowd_begin
crowd announced 240 4000000
