// Package prove tests the guarantees for callers and operators with real
// processes on loopback: nodes, stand-in backend servers and the stand-in of
// the platform's log. The tests kill, freeze, partition and restart processes
// while callers send requests and record the results. An oracle, CheckHistory,
// compares these results with the journals of all backend servers.
//
// The tests depend on the timing of the machine and run only with PROVE=1, as
// "make prove" does. PROVE_BIN is a folder with the programs; without it they
// are built first. PROVE_SEED repeats the random choices of a run: process,
// node and time of each fault. The timing of the processes is not repeatable.
package prove
