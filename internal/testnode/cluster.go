// Package testnode runs whole nodes in one process for tests: real sockets on
// loopback, the platform's log in memory, and backend servers that do what a
// test tells them. Everything that it starts ends with the test.
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

// Config of a Cluster.
type Config struct {
	// Graph is the text in force from the start; empty for none.
	Graph string
	// Change adjusts the configuration of every node; nil for none.
	Change func(*node.Config)
}

// DefaultConfig has neither a graph nor changes.
func DefaultConfig() Config { return Config{} }

// Cluster is a log and the nodes that know each other by it.
type Cluster struct {
	Log *fakelog.Log

	tb        testing.TB
	cfg       Config
	name      string
	client    *http.Client
	instances []*Instance
}

// Start returns a cluster without nodes, with the graph published.
func Start(tb testing.TB, cfg Config) *Cluster {
	c := &Cluster{
		Log:  fakelog.New(fakelog.Config{}, time.Now),
		tb:   tb,
		cfg:  cfg,
		name: wire.NewNodeID().String(), // apart from all other tests
		client: &http.Client{
			Transport: &http.Transport{DisableCompression: true},
			// A redirect is an answer like any other.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	tb.Cleanup(c.client.CloseIdleConnections)
	if cfg.Graph != "" {
		c.Publish(cfg.Graph)
	}
	return c
}

// Publish puts the text's services into force.
func (c *Cluster) Publish(text string) {
	c.tb.Helper()
	sections, problems := graph.Split("test", []byte(text))
	if err := problems.Err(); err != nil {
		c.tb.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// nodeConfig is a node's own configuration with shorter periods, so that what
// takes a fleet seconds takes a test a fraction of one.
func (c *Cluster) nodeConfig(service string) node.Config {
	const often = 50 * time.Millisecond
	cfg := node.DefaultConfig()
	cfg.Service = service
	cfg.DataCentre = "dc"
	cfg.Region = "region"
	cfg.DrainGrace = 4 * often
	cfg.BackendSilence = time.Hour // backend servers announce themselves once
	cfg.Transport.Cluster = c.name
	cfg.Membership.JoinInterval = often
	cfg.Membership.GossipInterval = often
	cfg.Membership.RepairRetryInterval = often
	cfg.Membership.MaxAnnounceWait = often
	cfg.Distributor.PollEvery = often
	cfg.Distributor.RepairEvery = often
	cfg.Distributor.PullRetry = often
	cfg.Serve.Once.BatchEvery = time.Millisecond
	cfg.Serve.Once.PendingFor = 8 * often
	cfg.Serve.Once.RetryEvery = often
	cfg.Serve.Once.ReadEvery = often
	if c.cfg.Change != nil {
		c.cfg.Change(&cfg)
	}
	return cfg
}

// AwaitReady waits until every node that runs knows all others and which of
// them take work, and has a configuration if there is one.
func (c *Cluster) AwaitReady() {
	c.tb.Helper()
	Await(c.tb, "nodes know each other", func() bool {
		for _, i := range c.instances {
			if !i.stopped && !c.knownBy(i) {
				return false
			}
		}
		return true
	})
}

func (c *Cluster) knownBy(viewer *Instance) bool {
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

// patience bounds every wait: it only ends tests that fail.
const patience = 20 * time.Second

// Await polls until the condition holds.
func Await(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	const poll = 2 * time.Millisecond
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(poll) {
		if condition() {
			return
		}
	}
	tb.Fatalf("not in time: %s", what)
}
