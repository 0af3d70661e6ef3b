# LOST: crowds that just send bodies far over the limit ended a proxy: it ran out
# of memory. It stays within the memory of its settings.
. scripts/mesh.sh
. test/fakes/crowd.sh
crowd_begin
crowd chunk1000 240 16000000
crowd chunk60000 240 16000000
