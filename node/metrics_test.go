package node_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/ops"
)

// Guards against metrics that are missing from the table for operators, and against entries
// for metrics that a node does not export.
func TestMetricsMatchTheDocumentedTable(t *testing.T) {
	is := is.New(t)
	c := startWithRoutes(t, nil)
	a := c.Add("a", testnode.Echo)
	a.Node.Publish(routesText{Version: 1, Services: []string{"a"}}.encode(t), "store")
	forward(a, "a", "r", "")
	forward(a, "nowhere", "r", "")

	w := httptest.NewRecorder()
	ops.New(a.Node, a.Counters).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	is.Equal(metricNames(`(?m)^(cassialoom_\w+)`, w.Body.String()), metricNames("(?m)^\\| `(cassialoom_\\w+)` \\|", string(page)))
}

// metricNames returns the first submatches of a pattern, sorted and without duplicates.
func metricNames(pattern, text string) []string {
	var out []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		out = append(out, m[1])
	}
	slices.Sort(out)
	return slices.Compact(out)
}
