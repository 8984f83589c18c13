// Command standin-backend runs the stand-in of a backend server for the demo and
// for measurements; see package internal/standin/backend.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/cassialoom/cassialoom/internal/standin/backend"
)

const usageStatus = 2

func main() {
	cfg := backend.DefaultConfig()
	parser := flags.NewParser(&cfg, flags.HelpFlag|flags.PassDoubleDash)
	rest, err := parser.Parse()
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Println(err)
		return
	}
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unknown arguments %q", rest)
	}
	if err != nil {
		exit(err, usageStatus)
	}
	server, err := backend.New(cfg, os.Exit)
	if err != nil {
		exit(err, usageStatus)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := server.Run(ctx, zerolog.New(os.Stderr).With().Timestamp().Logger()); err != nil {
		exit(err, 1)
	}
}

func exit(err error, status int) {
	fmt.Fprintln(os.Stderr, "standin-backend:", err)
	os.Exit(status)
}
