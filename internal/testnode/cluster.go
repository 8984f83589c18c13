// Package testnode runs complete nodes inside the process of a test. They use
// real sockets on loopback, an in-memory platform log and backend servers that
// run a Script of the test. Everything that it starts stops with the test.
package testnode

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/fakelog"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/wire"
)

// Config configures a Cluster.
type Config struct {
	// Graph is the graph text that Start publishes; empty publishes nothing.
	Graph string
	// Change adjusts the configuration of every node; nil changes nothing.
	Change func(*node.Config)
}

// DefaultConfig returns a Config without a graph and without changes.
func DefaultConfig() Config { return Config{} }

// Cluster is a set of nodes that share one platform log.
type Cluster struct {
	Log *fakelog.Log

	tb        testing.TB
	cfg       Config
	name      string
	client    *http.Client
	instances []*Instance
}

// Start publishes the graph and returns a cluster without nodes.
func Start(tb testing.TB, cfg Config) *Cluster {
	c := &Cluster{
		Log:  fakelog.New(fakelog.Config{}, time.Now),
		tb:   tb,
		cfg:  cfg,
		name: wire.NewNodeID().String(), // unique, so that nodes of other tests cannot join
		client: &http.Client{
			Transport: &http.Transport{DisableCompression: true},
			// Redirects are returned as answers, not followed.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	tb.Cleanup(c.client.CloseIdleConnections)
	if cfg.Graph != "" {
		c.Publish(cfg.Graph)
	}
	return c
}

// Publish publishes a section of the configuration for each service of the
// graph text; it fails the test unless the publication is accepted.
func (c *Cluster) Publish(text string) {
	c.tb.Helper()
	sections, problems := graph.Split("test", []byte(text))
	if err := problems.Err(); err != nil {
		c.tb.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	before, err := config.ReadState(ctx, c.Log)
	if err != nil {
		c.tb.Fatal(err)
	}
	pub := config.Publication{ID: config.NewPublicationID(), Operator: "test"}
	for _, s := range sections {
		old, _ := before.Section(s.Service)
		pub.Sections = append(pub.Sections, config.SectionChange{Service: s.Service, Text: s.Text, BaseVersion: old.Version})
	}
	out, err := config.Publish(ctx, c.Log, pub)
	if err != nil || out.Status != config.Accepted {
		c.tb.Fatalf("publish: %+v, %v", out, err)
	}
}

// nodeConfig returns the default configuration of a node with short intervals,
// so that tests don't wait for periodic work.
func (c *Cluster) nodeConfig(service string) node.Config {
	const interval = 50 * time.Millisecond
	cfg := node.DefaultConfig()
	cfg.Service = service
	cfg.DataCentre = "dc"
	cfg.Region = "region"
	cfg.DrainGrace = 4 * interval
	cfg.BackendSilence = time.Hour // backend servers announce themselves once
	cfg.Transport.Cluster = c.name
	cfg.Membership.JoinInterval = interval
	cfg.Membership.GossipInterval = interval
	cfg.Membership.RepairRetryInterval = interval
	cfg.Membership.MaxAnnounceWait = interval
	cfg.Distributor.PollEvery = interval
	cfg.Distributor.RepairEvery = interval
	cfg.Distributor.PullRetry = interval
	cfg.Serve.Once.BatchEvery = time.Millisecond
	cfg.Serve.Once.PendingFor = 8 * interval
	cfg.Serve.Once.RetryEvery = interval
	cfg.Serve.Once.ReadEvery = interval
	if c.cfg.Change != nil {
		c.cfg.Change(&cfg)
	}
	return cfg
}

// AwaitReady waits until every running node sees all others with their
// readiness and has a configuration, if one was published.
func (c *Cluster) AwaitReady() {
	c.tb.Helper()
	Await(c.tb, "every node sees all others", func() bool {
		for _, i := range c.instances {
			if !i.stopped && !c.hasFullView(i) {
				return false
			}
		}
		return true
	})
}

func (c *Cluster) hasFullView(viewer *Instance) bool {
	if c.cfg.Graph != "" && viewer.Node.Version().Version == 0 {
		return false
	}
	members := viewer.Node.Members()
	for _, i := range c.instances {
		if i.stopped {
			continue
		}
		found := false
		for _, m := range members {
			found = found || m.ID == i.Node.ID() && m.Ready == (i.Backend != nil)
		}
		if !found {
			return false
		}
	}
	return true
}

// waitTimeout bounds every wait. Only failing tests reach it.
const waitTimeout = 20 * time.Second

// Await polls until the condition holds; after 20 seconds it fails the test.
func Await(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	const poll = 2 * time.Millisecond
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(poll) {
		if condition() {
			return
		}
	}
	tb.Fatalf("timed out waiting for: %s", what)
}
