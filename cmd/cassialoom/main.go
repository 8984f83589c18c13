// Command cassialoom is what operators work with: it checks and publishes the
// graph text, and asks the nodes what they run and why they decided as they did.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run carries out one command line and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var o options
	return parse(ctx, &o, args, stdout, stderr)
}
