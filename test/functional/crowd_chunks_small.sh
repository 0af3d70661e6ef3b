# LOST: crowds whose bodies in very small chunks do not end ended a proxy: it
# ran out of memory. It stays within the memory of its settings.
. scripts/mesh.sh
. test/fakes/crowd.sh
crowd_begin
crowd chunk1 120 600000
crowd chunk3 120 1200000
