// Command soak injects random faults into a small platform of nodes and checks
// the guarantees. It stops only processes that it started, by process ID.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/cassialoom/cassialoom/internal/soak"
)

type options struct {
	Seed     uint64 `long:"seed" value-name:"N" description:"seed of the faults and requests (default: the time)"`
	Seconds  int    `long:"seconds" value-name:"N" default:"20" description:"how long things are broken"`
	Runs     int    `long:"runs" value-name:"N" default:"1" description:"runs, with one seed after the other"`
	Machines int    `long:"machines" value-name:"N" default:"6" description:"machines, half of them of each service"`
	Clients  int    `long:"clients" value-name:"N" default:"4" description:"clients on each machine"`
	Bin      string `long:"bin" value-name:"FOLDER" default:"bin" description:"folder with cassialoomd"`
	Net      int    `long:"net" value-name:"N" default:"78" description:"second number of the loopback addresses, 1 to 254, to run several at once"`
	Quiet    bool   `long:"quiet" description:"do not print the timeline"`

	Only []string `long:"fault" value-name:"NAME" description:"draw from the faults of this name alone; may be given several times"`
}

const (
	exitViolated = 1
	exitUsage    = 2
	exitFailed   = 3
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if o.Machines < 2 || o.Machines > 200 || o.Net < 1 || o.Net > 254 {
		fmt.Fprintln(os.Stderr, "soak: --machines: want 2 to 200; --net: want 1 to 254")
		os.Exit(exitUsage)
	}
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(runAll(ctx, o))
}

func runAll(ctx context.Context, o options) int {
	code := 0
	for i := range o.Runs {
		if ctx.Err() != nil {
			return exitFailed
		}
		code = max(code, runOne(ctx, o, o.Seed+uint64(i)))
	}
	return code
}

func runOne(ctx context.Context, o options, seed uint64) int {
	logf := func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	if o.Quiet {
		logf = func(string, ...any) {}
	}
	res, err := soak.Run(ctx, soak.Config{
		Seed: seed, Faults: time.Duration(o.Seconds) * time.Second, Bin: o.Bin, Machines: o.Machines, Clients: o.Clients, Net: o.Net, Say: logf, Only: o.Only,
	})
	fmt.Printf("seed %d: %d faults, %d requests, %d served, %d broken promises\n", seed, res.Faults, res.Requests, res.Served, len(res.Broken))
	for _, b := range res.Broken {
		fmt.Println("  broken:", b)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "soak:", err)
		return exitFailed
	case len(res.Broken) > 0:
		fmt.Println("  logs:", res.Logs)
		return exitViolated
	default:
		return 0
	}
}
