# LOST: crowds of connections without a request held up all other callers until
# they had been idle for long. Those that give least are closed first.
. scripts/mesh.sh
. test/fakes/crowd.sh
crowd_begin
crowd idle 400 0
crowd head 400 0
