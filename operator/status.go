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

// versionGroup summarizes the nodes that run one version.
type versionGroup struct {
	version uint64
	nodes   int
	// maxAge is the longest time since one of the nodes learned that the version is
	// the newest.
	maxAge time.Duration
	// dataCentres counts the nodes by data centre.
	dataCentres map[string]int
}

// Status prints the versions in force with their nodes, and the nodes that did not
// answer. It returns an error if no node answered.
func (o *Operator) Status(ctx context.Context) error {
	members, err := o.members(ctx)
	if err != nil {
		return err
	}
	answers := askAll[ops.Version](ctx, o, members, pathVersion)
	versions := groupByVersion(answers)
	o.printSummary(ctx, versions, len(members))
	o.printVersions(versions)
	if failed := reportFailures(o, answers); failed > 0 {
		o.printf("%d of %d nodes could not be asked: what they run is not known\n", failed, len(members))
		if failed == len(members) {
			return errors.New("no member could be asked")
		}
	}
	return nil
}

// groupByVersion groups the nodes by version, newest first.
func groupByVersion(answers []answer[ops.Version]) []versionGroup {
	groups := make(map[uint64]*versionGroup)
	for _, a := range answers {
		if a.err != nil {
			continue
		}
		g := groups[a.value.Version]
		if g == nil {
			g = &versionGroup{version: a.value.Version, dataCentres: map[string]int{}}
			groups[g.version] = g
		}
		g.nodes++
		g.maxAge = max(g.maxAge, time.Duration(a.value.AgeMs)*time.Millisecond)
		g.dataCentres[a.member.DataCentre]++
	}
	sorted := make([]versionGroup, 0, len(groups))
	for _, g := range groups {
		sorted = append(sorted, *g)
	}
	slices.SortFunc(sorted, func(a, b versionGroup) int { return cmp.Compare(b.version, a.version) })
	return sorted
}

// printSummary prints the newest version and at how many nodes it is in force. The
// newest version is that of the log, or of the nodes if the log is not available.
func (o *Operator) printSummary(ctx context.Context, versions []versionGroup, members int) {
	accepted, source := uint64(0), "newest at any node that answered"
	if len(versions) > 0 {
		accepted = versions[0].version
	}
	if state, err := o.acceptedInLog(ctx); err != nil {
		o.printf("the log could not be read: %v\n", err)
	} else if state != nil && state.Version() >= accepted {
		accepted, source = state.Version(), "accepted in the log"
	}
	nodesAtAccepted := 0
	for _, v := range versions {
		if v.version == accepted {
			nodesAtAccepted = v.nodes
		}
	}
	o.printf("%s, %s, is in force at %d of %d nodes\n", versionName(accepted), source, nodesAtAccepted, members)
}

// acceptedInLog returns the accepted configuration in the log, or nil if no log is
// given.
func (o *Operator) acceptedInLog(ctx context.Context) (*config.State, error) {
	if o.log == nil {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, o.cfg.AskTimeout)
	defer cancel()
	return config.ReadState(ctx, o.log)
}

// printVersions prints a table of the versions and their nodes.
func (o *Operator) printVersions(versions []versionGroup) {
	if len(versions) == 0 {
		return
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tNODES\tOLDEST NEWS\tWHERE")
	for _, v := range versions {
		fmt.Fprintf(w, "%s\t%d\t%v\t%s\n", versionNumber(v.version), v.nodes, v.maxAge.Round(time.Millisecond), formatCounts(v.dataCentres))
	}
	w.Flush()
}

// formatCounts lists the number of nodes of each data centre.
func formatCounts(dataCentres map[string]int) string {
	var list []string
	for name, n := range dataCentres {
		list = append(list, fmt.Sprintf("%s: %d", name, n))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// versionName returns the name of a version in a sentence.
func versionName(v uint64) string {
	if v == 0 {
		return "no configuration"
	}
	return fmt.Sprintf("version %d", v)
}

// versionNumber returns a version for a table.
func versionNumber(v uint64) string {
	if v == 0 {
		return "none"
	}
	return fmt.Sprint(v)
}
