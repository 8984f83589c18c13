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

// The table that on-call engineers read names each metric that a node serves,
// and no other.
func TestMetricsAndTheirTableAgree(t *testing.T) {
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
	is.Equal(names(`(?m)^(cassialoom_\w+)`, w.Body.String()), names("(?m)^\\| `(cassialoom_\\w+)` \\|", string(page)))
}

func names(pattern, text string) []string {
	var out []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		out = append(out, m[1])
	}
	slices.Sort(out)
	return slices.Compact(out)
}
