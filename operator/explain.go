package operator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"text/tabwriter"

	"github.com/cassialoom/cassialoom/explain"
)

// timeFormat includes microseconds, since steps of a call often happen within a
// millisecond.
const timeFormat = "15:04:05.000000"

// decision is an event with the node that recorded it.
type decision struct {
	explain.Event
	member member
}

// Explain asks every node for its decisions about a request and prints them in order
// of time. Times are those of the nodes' clocks, so only the order of one node's
// decisions is certain. If none of the nodes that answered has any, the error wraps
// ErrRefused.
func (o *Operator) Explain(ctx context.Context, requestID string) error {
	members, err := o.members(ctx)
	if err != nil {
		return err
	}
	answers := askAll[[]explain.Event](ctx, o, members, pathExplain+url.PathEscape(requestID))
	decisions := mergeDecisions(answers)
	o.printDecisions(decisions)
	failed := reportFailures(o, answers)
	if failed > 0 {
		o.printf("%d of %d nodes could not be asked: what they decided is missing here\n", failed, len(members))
	}
	if len(decisions) > 0 {
		return nil
	}
	if failed == len(members) {
		return errors.New("no member could be asked")
	}
	return refused("none of the %d nodes that answered remembers request %q; each keeps only its latest decisions", len(members)-failed, requestID)
}

// mergeDecisions returns the decisions of all nodes in order of time.
func mergeDecisions(answers []answer[[]explain.Event]) []decision {
	var all []decision
	for _, a := range answers {
		if a.err != nil {
			continue
		}
		for _, e := range a.value {
			all = append(all, decision{Event: e, member: a.member})
		}
	}
	slices.SortStableFunc(all, func(a, b decision) int {
		return cmp.Or(a.Time.Compare(b.Time), bytes.Compare(a.member.ID[:], b.member.ID[:]))
	})
	return all
}

// printDecisions prints a table of decisions.
func (o *Operator) printDecisions(decisions []decision) {
	if len(decisions) == 0 {
		return
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME (UTC)\tNODE\tAT\tABOUT\tSTEP\tREASON\tDETAIL")
	for _, d := range decisions {
		fmt.Fprintf(w, "%s\t%s\t%s/%s\t%s\t%s\t%s\t%s\n",
			d.Time.UTC().Format(timeFormat), d.member.ID.Short(), d.member.DataCentre, d.member.Service,
			operationName(d.Event), d.Step, cmp.Or(string(d.Reason), "-"), printable(d.Detail))
	}
	w.Flush()
}

// operationName returns the service and operation of an event.
func operationName(e explain.Event) string {
	switch {
	case e.Service == "":
		return "-"
	case e.Operation == "":
		return e.Service
	default:
		return e.Service + "." + e.Operation
	}
}

// printable quotes s if it has control characters: callers choose parts of it, which
// must not control the operator's terminal.
func printable(s string) string {
	for _, r := range s {
		if r < ' ' || r == 0x7f || (r >= 0x80 && r < 0xa0) {
			return fmt.Sprintf("%q", s)
		}
	}
	return s
}

// Dump prints the state of the node with the operators' address addr as JSON.
func (o *Operator) Dump(ctx context.Context, addr string) error {
	body, err := o.get(ctx, addr, pathState)
	if err != nil {
		return err
	}
	var pretty bytes.Buffer
	if err := json.Indent(&pretty, bytes.TrimSpace(body), "", "  "); err != nil {
		return fmt.Errorf("ask %s: the state is not JSON: %w", addr, err)
	}
	o.printf("%s\n", pretty.Bytes())
	return nil
}
