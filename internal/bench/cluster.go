package bench

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cassialoom/cassialoom/internal/rig"
)

const (
	startTimeout = 30 * time.Second
	stopTimeout  = 10 * time.Second
	// slots exceeds the concurrency of all loads, so that no call waits at the backend
	// server.
	slots = 280
)

// shape is the cluster of the measurement: two services without work.
var shape = rig.Shape{
	Name:        "bench",
	Region:      "region",
	DataCentres: []string{"dc"},
	Services: []rig.ServiceShape{
		{Name: entryService, Targets: 1, Slots: slots, Queue: slots, Times: []string{operation + "=0s,constant"}},
		{Name: workService, Targets: 1, Slots: slots, Queue: slots, Times: []string{operation + "=0s,constant"}},
	},
}

// cluster holds the two services as separate processes with one node each.
type cluster struct {
	*rig.Cluster
	entry *rig.Instance
	work  *rig.Instance
}

func (c *cluster) direct() string { return "http://" + c.work.BackendAddr + "/" + operation }

func (c *cluster) forwarded() string {
	return "http://" + c.entry.CallerAddr + "/call/" + workService + "/" + operation
}

// withCluster runs f with new processes of the programs in bin. If it returns an error, it
// keeps the logs.
func withCluster(ctx context.Context, bin string, f func(context.Context, *cluster) error) (err error) {
	r, err := rig.New(bin)
	if err != nil {
		return err
	}
	defer func() {
		err = errors.Join(err, r.Close(stopTimeout))
		if err != nil {
			err = fmt.Errorf("%w (logs: %s)", err, r.Dir())
			return
		}
		err = r.RemoveLogs()
	}()
	c, err := startCluster(ctx, r)
	if err != nil {
		return err
	}
	return f(ctx, c)
}

// startCluster starts the cluster and waits until forwarded requests succeed.
func startCluster(ctx context.Context, r *rig.Rig) (*cluster, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	rc, err := r.StartCluster(ctx, shape, rig.Options{Seed: 1})
	if err != nil {
		return nil, err
	}
	c := &cluster{Cluster: rc, entry: rc.Of(entryService)[0], work: rc.Of(workService)[0]}
	file := filepath.Join(r.Dir(), "bench.hcl")
	if err := os.WriteFile(file, []byte(graphText), 0o600); err != nil {
		return nil, err
	}
	if _, err := rc.Publish(ctx, file); err != nil {
		return nil, err
	}
	if err := rc.Await(ctx, "/readyz", rc.Instances); err != nil {
		return nil, err
	}
	return c, awaitAnswer(ctx, c.forwarded())
}
