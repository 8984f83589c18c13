package operator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/ops"
)

// inForce gathers the nodes that run one version.
type inForce struct {
	version     uint64
	nodes       int
	oldest      time.Duration // longest time since a node heard that it is the newest
	dataCentres map[string]int
}

// Status reports which version is in force where, and how many nodes could
// not be asked.
func (o *Operator) Status(ctx context.Context) error {
	members, err := o.members(ctx)
	if err != nil {
		return err
	}
	answers := askAll[ops.Version](ctx, o, members, pathVersion)
	versions := groupByVersion(answers)
	o.headline(ctx, versions, len(members))
	o.versionTable(versions)
	if failed := notAsked(o, answers); failed > 0 {
		o.printf("%d of %d nodes could not be asked: what they run is not known\n", failed, len(members))
		if failed == len(members) {
			return errors.New("no member could be asked")
		}
	}
	return nil
}

// groupByVersion returns the groups, newest version first.
func groupByVersion(answers []answer[ops.Version]) []inForce {
	groups := make(map[uint64]*inForce)
	for _, a := range answers {
		if a.err != nil {
			continue
		}
		g := groups[a.value.Version]
		if g == nil {
			g = &inForce{version: a.value.Version, dataCentres: map[string]int{}}
			groups[g.version] = g
		}
		g.nodes++
		g.oldest = max(g.oldest, time.Duration(a.value.AgeMs)*time.Millisecond)
		g.dataCentres[a.member.DataCentre]++
	}
	sorted := make([]inForce, 0, len(groups))
	for _, g := range groups {
		sorted = append(sorted, *g)
	}
	slices.SortFunc(sorted, func(a, b inForce) int { return cmp.Compare(b.version, a.version) })
	return sorted
}

// headline compares the nodes with the log, or with the newest of them when
// the log is not given or does not answer.
func (o *Operator) headline(ctx context.Context, versions []inForce, members int) {
	accepted, source := uint64(0), "newest at any node that answered"
	if len(versions) > 0 {
		accepted = versions[0].version
	}
	if state, err := o.acceptedInLog(ctx); err != nil {
		o.printf("the log could not be read: %v\n", err)
	} else if state != nil && state.Version() >= accepted {
		accepted, source = state.Version(), "accepted in the log"
	}
	at := 0
	for _, v := range versions {
		if v.version == accepted {
			at = v.nodes
		}
	}
	o.printf("%s, %s, is in force at %d of %d nodes\n", versionName(accepted), source, at, members)
}

// acceptedInLog returns nil without an error when no log is given.
func (o *Operator) acceptedInLog(ctx context.Context) (*config.State, error) {
	if o.log == nil {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, o.cfg.AskTimeout)
	defer cancel()
	return config.ReadState(ctx, o.log)
}

func (o *Operator) versionTable(versions []inForce) {
	if len(versions) == 0 {
		return
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tNODES\tOLDEST NEWS\tWHERE")
	for _, v := range versions {
		fmt.Fprintf(w, "%s\t%d\t%v\t%s\n", versionNumber(v.version), v.nodes, v.oldest.Round(time.Millisecond), places(v.dataCentres))
	}
	w.Flush()
}

func places(dataCentres map[string]int) string {
	var list []string
	for name, n := range dataCentres {
		list = append(list, fmt.Sprintf("%s: %d", name, n))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

func versionName(v uint64) string {
	if v == 0 {
		return "no configuration"
	}
	return fmt.Sprintf("version %d", v)
}

func versionNumber(v uint64) string {
	if v == 0 {
		return "none"
	}
	return fmt.Sprint(v)
}
