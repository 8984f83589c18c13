package daemon

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/rs/zerolog"
)

// endpoint is an address to listen at.
type endpoint struct {
	// name is the name of the endpoint in errors.
	name string
	addr string
	// listener is set to the open listener.
	listener *net.Listener
}

// openAll opens the listeners of all endpoints. The error names the endpoint that
// could not be opened.
func openAll(all []endpoint) error {
	for _, e := range all {
		ln, err := net.Listen("tcp", e.addr)
		if err != nil {
			return fmt.Errorf("listen for %s at %q: %w", e.name, e.addr, err)
		}
		*e.listener = ln
	}
	return nil
}

// httpServer is the part of http.Server and entry.Server that the daemon uses.
type httpServer interface {
	Serve(net.Listener) error
	Close() error
}

// serveUntilClosed serves until the server or its listener is closed, and logs any
// other error.
func serveUntilClosed(srv httpServer, ln net.Listener, log zerolog.Logger) {
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		log.Error().Err(err).Str("addr", ln.Addr().String()).Msg("server ended")
	}
}
