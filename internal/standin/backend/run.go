package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
)

const (
	drainPollInterval = 20 * time.Millisecond
	shutdownTimeout   = 2 * time.Second
	headerTimeout     = 5 * time.Second
	leaveTimeout      = time.Second
)

// Run serves until ctx ends and then drains: it announces the state Draining, finishes
// requests that are in flight or still arrive, sends the departure to the node and stops.
func (s *Server) Run(ctx context.Context, log zerolog.Logger) error {
	listener, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return fmt.Errorf("setting --listen: value %s: %w", s.cfg.Listen, err)
	}
	url := "http://" + listener.Addr().String()
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()

	background, stop := context.WithCancel(context.Background())
	defer stop()
	kick := make(chan struct{}, 1)
	announcing := s.startAnnouncing(background, url, kick)
	log.Info().Str("service", s.cfg.Service).Str("url", url).Str("boot", s.boot).Msg("ready")

	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	s.drain(kick, log)
	stop()
	<-announcing
	s.leaveNode(log)
	return s.shutdown(server)
}

// startAnnouncing starts the announcements, if there is a node, and returns a channel that
// is closed when they have ended.
func (s *Server) startAnnouncing(ctx context.Context, url string, kick <-chan struct{}) <-chan struct{} {
	done := make(chan struct{})
	if s.cfg.Node == "" {
		close(done)
		return done
	}
	go func() {
		defer close(done)
		s.announceLoop(ctx, url, kick)
	}()
	return done
}

// drain waits until no request is in flight and none has arrived for DrainQuiet, or until
// DrainLimit.
func (s *Server) drain(kick chan<- struct{}, log zerolog.Logger) {
	s.draining.Store(true)
	kick <- struct{}{}
	log.Info().Msg("draining")
	start := time.Now()
	for time.Since(start) < s.cfg.DrainLimit {
		if s.isQuiet(start) {
			log.Info().Dur("took", time.Since(start)).Msg("drained")
			return
		}
		time.Sleep(drainPollInterval)
	}
	log.Warn().Dur("limit", s.cfg.DrainLimit).Msg("drain limit reached with requests in flight")
}

func (s *Server) isQuiet(since time.Time) bool {
	inUse, waiting := s.slots.usage()
	if inUse+waiting > 0 {
		return false
	}
	last := s.executions.lastArrivalTime()
	if last.Before(since) {
		last = since
	}
	return time.Since(last) >= s.cfg.DrainQuiet
}

func (s *Server) leaveNode(log zerolog.Logger) {
	if s.cfg.Node == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := s.announceLeaving(ctx); err != nil {
		log.Warn().Err(err).Msg("departure could not be sent to the node")
	}
}

func (s *Server) shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	s.Close()
	if errors.Is(err, context.DeadlineExceeded) {
		return server.Close()
	}
	return err
}
