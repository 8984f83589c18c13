// Package bench measures the costs of a node: the latency that two nodes add to a call, the
// processor time and allocations of a forwarded call, and the memory and processor time of
// an idle node and of one with many connections.
//
// The Go benchmarks run two nodes in one process. Command loopback, in cmd, runs all
// programs as separate processes; docs/MEASURED.md has its figures.
package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cassialoom/cassialoom/graph"
)

func splitGraph() ([]graph.Section, graph.Problems) {
	return graph.Split("bench.hcl", []byte(graphText))
}

const answerPollInterval = 50 * time.Millisecond

// awaitAnswer polls url until a request succeeds.
func awaitAnswer(ctx context.Context, url string) error {
	for {
		err := post(ctx, http.DefaultClient, url, "ready?")
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("no answer in time: %w", err)
		case <-time.After(answerPollInterval):
		}
	}
}

// post sends one request and reads the whole answer. A status other than 200 is an error.
func post(ctx context.Context, client *http.Client, url, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s: %s", url, res.Status, text)
	}
	return nil
}
