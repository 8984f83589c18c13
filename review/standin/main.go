//go:build review

// Command standin runs one case of the review: it starts nodes as separate processes
// beside stand-ins of the store, the targets and the clients, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// init keeps main on the first thread: the kernel ends a child when the thread that started
// it ends.
func init() { runtime.LockOSThread() }

func main() {
	name := flag.String("case", "", "the case to run")
	out := flag.String("record", "record.txt", "the file for the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "cassialoom-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code, err := run(rec, dir, *trouble)
	if err != nil {
		rec.line("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	}
	rec.close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	os.Exit(code)
}

var cases = map[string]func(rec *record, dir string, trouble bool) (int, error){
	"doubled-rejections": doubledRejections,
	"two-holders":        twoHolders,
	"silent-connections": silentConnections,
}
