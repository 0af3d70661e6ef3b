# LOST: crowds whose bodies in large chunks do not end ended a proxy: it ran
# out of memory. It stays within the memory of its settings.
. scripts/mesh.sh
. test/fakes/crowd.sh
crowd_begin
crowd chunk60000 240 420000
crowd chunk60000 240 4200000
