# LOST: crowds whose bodies of legal size, sent piece by piece, stop short of their
# end ended a proxy: it ran out of memory. It stays within the memory of its settings.
. scripts/mesh.sh
. test/fakes/crowd.sh
crowd_begin
crowd pieces 240 400000
crowd pieces 240 4000000
