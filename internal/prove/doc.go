// Package prove tests the promises to callers and operators over real
// processes on loopback: nodes, stand-in backend servers and the stand-in of
// the platform's log are killed, frozen, cut off from each other and started
// again, while callers send requests and note what they were told. An oracle
// (Judge) then compares that with the journals of all backend servers.
//
// The tests depend on the machine's timing and run only with PROVE=1, which
// "make prove" sets. PROVE_BIN names a folder with the programs; without it
// they are built first. PROVE_SEED repeats the choices of a run: which
// process, which node, when. The processes themselves are not repeatable.
package prove
