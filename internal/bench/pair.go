package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/entry"
	"github.com/cassialoom/cassialoom/internal/fakelog"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/ops"
)

// Services of the pair and of the cluster. Requests enter at the node of entryService and
// run at the backend server of workService.
const (
	entryService = "front"
	workService  = "work"
	operation    = "echo"
)

// graphText declares the two services.
const graphText = `
service "` + entryService + `" {
  operation "` + operation + `" {
    idempotent = true
    importance = "normal"
    deadline   = "5s"
  }
}

service "` + workService + `" {
  operation "` + operation + `" {
    idempotent = true
    importance = "normal"
    deadline   = "5s"
  }
}
`

// Pair is two nodes in this process, one of them with a backend server that returns the
// body of the request.
type Pair struct {
	// Direct is the URL of the operation at the backend server, Forwarded that at the
	// entry node.
	Direct    string
	Forwarded string

	nodes   []*node.Node
	servers []server
}

const pairStartTimeout = 10 * time.Second

// StartPair starts the pair and waits until forwarded requests succeed. The caller must
// call Close.
func StartPair() (*Pair, error) {
	p := &Pair{}
	if err := p.start(); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Pair) start() error {
	log := fakelog.New(fakelog.Config{}, time.Now)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.serveOn(ln, &http.Server{Handler: http.HandlerFunc(echo)})
	backend := "http://" + ln.Addr().String()
	p.Direct = backend + "/" + operation
	for _, service := range []string{workService, entryService} {
		callers, err := p.startNode(service, log)
		if err != nil {
			return err
		}
		p.Forwarded = "http://" + callers + "/call/" + workService + "/" + operation
	}
	ctx, cancel := context.WithTimeout(context.Background(), pairStartTimeout)
	defer cancel()
	if err := publish(ctx, log); err != nil {
		return err
	}
	if err := p.nodes[0].Announce(time.Now(), backend, "ready", "bench"); err != nil {
		return err
	}
	return awaitAnswer(ctx, p.Forwarded)
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Write(body)
}

// startNode starts a node and returns the address of its listener for callers.
func (p *Pair) startNode(service string, log *fakelog.Log) (callers string, err error) {
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	cfg := node.DefaultConfig()
	cfg.Service = service
	cfg.DataCentre = "dc"
	cfg.Region = "region"
	cfg.PeerAddr = peers.Addr().String()
	cfg.Transport.Cluster = "bench"
	cfg.BackendSilence = time.Hour // the backend server announces itself once
	n, err := node.New(cfg, log, zerolog.Nop(), &ops.Counters{})
	if err != nil {
		peers.Close()
		return "", err
	}
	n.Start()
	p.nodes = append(p.nodes, n)
	p.serveOn(peers, &http.Server{Handler: n.Peers()})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.serveOn(entry.Listener(ln), entry.NewServer(cfg.Entry, entry.New(cfg.Entry, n)))
	return ln.Addr().String(), nil
}

// server is the part of http.Server and entry.Server that a pair uses.
type server interface {
	Serve(net.Listener) error
	Close() error
}

func (p *Pair) serveOn(ln net.Listener, srv server) {
	p.servers = append(p.servers, srv)
	go srv.Serve(ln) // returns after Close
}

// Close stops the nodes and the servers.
func (p *Pair) Close() {
	for _, n := range p.nodes {
		n.Stop()
	}
	for _, srv := range p.servers {
		srv.Close()
	}
}

// publish publishes graphText to the log.
func publish(ctx context.Context, log *fakelog.Log) error {
	sections, problems := splitGraph()
	if err := problems.Err(); err != nil {
		return err
	}
	p := config.Publication{ID: config.NewPublicationID(), Operator: "bench"}
	for _, s := range sections {
		p.Sections = append(p.Sections, config.SectionChange{Service: s.Service, Text: s.Text})
	}
	out, err := config.Publish(ctx, log, p)
	if err == nil && out.Status != config.Accepted {
		err = fmt.Errorf("publish: %s: %s", out.Status, out.Cause)
	}
	return err
}
