// Command standin-log runs the stand-in of the platform's log service.
package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/cassialoom/cassialoom/internal/standin/logserver"
)

const (
	stopTimeout       = 5 * time.Second
	readHeaderTimeout = 5 * time.Second
)

type options struct {
	Listen    string        `long:"listen" env:"STANDIN_LOG_LISTEN" default:"127.0.0.1:7070" description:"address to listen on"`
	Retention time.Duration `long:"retention" env:"STANDIN_LOG_RETENTION" default:"1h" description:"how long a record is kept"`
	Records   int           `long:"max-records" env:"STANDIN_LOG_MAX_RECORDS" default:"100000" description:"most records in a stream"`
	Rate      int           `long:"appends-per-second" env:"STANDIN_LOG_APPENDS_PER_SECOND" default:"500" description:"most appends in a second, over all streams"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	logger := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := run(opts, logger); err != nil {
		logger.Error().Err(err).Msg("stopped")
		os.Exit(1)
	}
}

func run(opts options, logger zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return err
	}
	logger.Info().Stringer("address", listener.Addr()).Msg("listening")
	server := &http.Server{
		Handler:           logserver.New(opts.config(), time.Now).Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	stopped := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutDown(server)
	})
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-stopped
	return nil
}

func (o options) config() logserver.Config {
	cfg := logserver.DefaultConfig()
	cfg.Retention = o.Retention
	cfg.MaxRecords = o.Records
	cfg.AppendsPerSecond = o.Rate
	return cfg
}

func shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
	}
}
