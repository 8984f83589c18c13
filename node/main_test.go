package node_test

import (
	"testing"

	"go.uber.org/goleak"

	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/node"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// graphText declares an operation whose request fans out over two services and two
// hops. Its deadlines are longer than any test: a request ends for other reasons.
const graphText = `
service "alertdesk" {
  operation "issue" {
    deadline = "60s"
    calls    = ["plumecast.forecast", "fieldlog.file"]
  }
  operation "idle" {
    deadline = "60s"
  }
}
service "plumecast" {
  operation "forecast" {
    idempotent = true
    deadline   = "60s"
    calls      = ["stationlog.history"]
  }
}
service "fieldlog" {
  operation "file" {
    deadline = "60s"
  }
}
service "stationlog" {
  operation "history" {
    idempotent = true
    deadline   = "60s"
  }
}`

// startCluster returns a cluster with the graph published and no nodes. change, if not nil,
// changes the configuration of each node.
func startCluster(t *testing.T, change func(*node.Config)) *cluster {
	t.Parallel()
	cfg := testnode.DefaultConfig()
	cfg.Graph = graphText
	cfg.Change = change
	return &cluster{Cluster: testnode.Start(t, cfg)}
}
