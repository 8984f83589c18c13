// Command demo runs a complete system on one machine. It starts Savukartta's
// services as separate processes on loopback, each backend server with its node,
// publishes the graph text, sends requests of every operation, drains a node,
// kills a backend server, prints the result of every request and stops all
// processes. It exits with status 0 only if all results are as declared.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/cassialoom/cassialoom/internal/rig"
)

const (
	usageStatus = 2
	// runTimeout ends a demo that hangs.
	runTimeout = 90 * time.Second
	// maxStall is less than the shortest deadline of the graph.
	maxStall = 200 * time.Millisecond
)

type options struct {
	Bin      string `long:"bin" env:"DEMO_BIN" default:"bin" description:"folder with the programs"`
	Graph    string `long:"graph" env:"DEMO_GRAPH" default:"examples/savukartta.hcl" description:"graph text of Savukartta"`
	KeepLogs bool   `long:"keep-logs" env:"DEMO_KEEP_LOGS" description:"keep the logs also after success"`
}

func main() {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	rest, err := parser.Parse()
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return
	}
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unknown arguments %q", rest)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(usageStatus)
	}
	if err := run(opts); err != nil {
		fmt.Println("\nNOT as declared:")
		fmt.Println(err)
		os.Exit(1)
	}
	fmt.Println("\nall was as declared")
}

func run(opts options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Not a deadline of ctx: requests would carry it as their own deadline.
	limit := time.AfterFunc(runTimeout, stop)
	defer limit.Stop()
	d, err := newDemo(opts)
	if err != nil {
		return err
	}
	stalls := rig.WatchStalls()
	defer stalls.Stop()
	err = errors.Join(d.runSteps(ctx), d.stopProcesses())
	if longest := stalls.Longest(); err != nil && longest > maxStall {
		fmt.Printf("\nthis machine stalled for %.1f s during the demo: try again\n", longest.Seconds())
	}
	if err != nil || opts.KeepLogs {
		fmt.Println("\nlogs:", d.rig.Dir())
		return err
	}
	return d.rig.RemoveLogs()
}
