package balancer

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func node(i int) wire.NodeID { return wire.NodeID{byte(i), byte(i >> 8), 1} }
