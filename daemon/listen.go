package daemon

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/rs/zerolog"
)

// endpoint is an address that the node listens at; name is what operators know
// it by.
type endpoint struct {
	name string
	addr string
	to   *net.Listener
}

// openAll opens the listeners of all endpoints. The error names the one that
// cannot be opened.
func openAll(all []endpoint) error {
	for _, e := range all {
		ln, err := net.Listen("tcp", e.addr)
		if err != nil {
			return fmt.Errorf("listen for %s at %q: %w", e.name, e.addr, err)
		}
		*e.to = ln
	}
	return nil
}

// serveUntilClosed serves until either end is closed, and logs any other end.
func serveUntilClosed(srv *http.Server, ln net.Listener, log zerolog.Logger) {
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		log.Error().Err(err).Str("addr", ln.Addr().String()).Msg("server ended")
	}
}
