// Command loopback measures the costs of a node, with all programs as separate processes on
// loopback, and prints a table; see package internal/bench.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/cassialoom/cassialoom/internal/bench"
)

const usageStatus = 2

type options struct {
	Bins        []string      `long:"bin" env:"BENCH_BIN" env-delim:"," default:"bin" description:"folder with the programs; repeat it to compare builds in turn"`
	Repeats     int           `long:"repeats" env:"BENCH_REPEATS" default:"5" description:"repeats of everything"`
	Rates       []float64     `long:"rate" env:"BENCH_RATES" env-delim:"," default:"400" default:"2000" description:"calls a second; may be repeated"`
	Length      time.Duration `long:"length" env:"BENCH_LENGTH" default:"8s" description:"length of the load at each rate"`
	Body        int           `long:"body" env:"BENCH_BODY" default:"200" description:"bytes of each call's body"`
	Idle        time.Duration `long:"idle" env:"BENCH_IDLE" default:"20s" description:"how long a node at rest is watched; 0 leaves it out"`
	Connections int           `long:"connections" env:"BENCH_CONNECTIONS" default:"1000" description:"connections held open; 0 leaves them out"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(usageStatus)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := bench.Loopback(ctx, bench.Config(opts), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "loopback:", err)
		os.Exit(1)
	}
}
