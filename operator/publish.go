package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/graph"
)

// Publication says what to publish.
type Publication struct {
	Text Text
	// Operator is the name that others are shown.
	Operator string
	// Delete names services to take out. A service that is in force and
	// not in the file is kept otherwise: a file of one service must not
	// remove all others.
	Delete []string
	// ID of an earlier run whose outcome is not known; empty for a new one.
	ID string
	// Whole replaces everything that is in force.
	Whole bool
}

// plan is what a publication would change.
type plan struct {
	state   *config.State
	changes []graph.Change
	// kept are the services in force that the file does not have.
	kept []string
}

// Diff reports what publishing the text would change.
func (o *Operator) Diff(ctx context.Context, t Text, deleted []string) error {
	p, err := o.plan(ctx, t, deleted)
	if err != nil {
		return err
	}
	o.printf("in force: %s\n", versionName(p.state.Version()))
	for _, c := range p.changes {
		o.printf("%s\n", o.describe(p.state, c))
		for _, line := range lineDiff(c.Old, c.New) {
			o.printf("    %s\n", line)
		}
	}
	if len(p.changes) == 0 {
		o.printf("no change\n")
	}
	o.reportKept(p.kept)
	return nil
}

func (o *Operator) describe(state *config.State, c graph.Change) string {
	s, ok := state.Section(c.Service)
	if !ok {
		return fmt.Sprintf("service %s: %s", c.Service, c.Kind)
	}
	return fmt.Sprintf("service %s: %s; in force since version %d, by %s", c.Service, c.Kind, s.Version, printable(s.Operator))
}

func (o *Operator) reportKept(kept []string) {
	for _, service := range kept {
		o.printf("service %s: in force but not in the file, kept (--delete %s takes it out)\n", service, service)
	}
}

// plan reads what is in force and checks what would come out.
func (o *Operator) plan(ctx context.Context, t Text, deleted []string) (plan, error) {
	sections, err := o.split(t, deleted)
	if err != nil {
		return plan{}, err
	}
	state, err := o.readState(ctx)
	if err != nil {
		return plan{}, err
	}
	current := textsOf(state)
	for _, service := range deleted {
		if !hasSection(current, service) {
			return plan{}, refused("--delete %s: no such service in force", service)
		}
	}
	merged := overlay(current, sections, deleted)
	if err := o.assemble(t, merged); err != nil {
		return plan{}, err
	}
	p := plan{state: state, changes: graph.Diff(current, merged)}
	for _, s := range current {
		if !hasSection(sections, s.Service) && !slices.Contains(deleted, s.Service) {
			p.kept = append(p.kept, s.Service)
		}
	}
	return p, nil
}

func (o *Operator) split(t Text, deleted []string) ([]graph.Section, error) {
	sections, problems := graph.Split(t.Name, t.Data)
	if len(problems) > 0 {
		return nil, o.problems(problems)
	}
	for _, service := range deleted {
		if hasSection(sections, service) {
			return nil, usage("--delete %s: the service is in %s", service, t.Name)
		}
	}
	return sections, nil
}

func textsOf(state *config.State) []graph.Section {
	var texts []graph.Section
	for _, s := range state.Sections() {
		texts = append(texts, graph.Section{Service: s.Service, Text: s.Text})
	}
	return texts
}

func (o *Operator) readState(ctx context.Context) (*config.State, error) {
	if o.log == nil {
		return nil, usage("--log-url is not set: give the address of the platform's log service")
	}
	state, err := config.ReadState(ctx, o.log)
	if err != nil {
		o.adviseNoBase(err)
		return nil, fmt.Errorf("read what is in force: %w", err)
	}
	return state, nil
}

// Publish publishes the sections that differ from what is in force, as one
// publication that is accepted or rejected as a whole.
func (o *Operator) Publish(ctx context.Context, p Publication) error {
	pub, err := o.prepare(ctx, p)
	if err != nil || len(pub.Sections) == 0 {
		return err
	}
	// Printed before anything is written: who stops the command here can
	// still ask for the outcome.
	o.printf("publication %s by %s: %d sections\n", pub.ID, printable(pub.Operator), len(pub.Sections))
	outcome, err := config.Publish(ctx, o.log, pub)
	if err != nil {
		return o.unsettled(pub, err)
	}
	return o.report(pub, outcome)
}

// prepare returns a publication without sections when there is nothing to do.
func (o *Operator) prepare(ctx context.Context, p Publication) (config.Publication, error) {
	pub := config.Publication{ID: p.ID, Operator: p.Operator, Whole: p.Whole}
	if pub.ID == "" {
		pub.ID = config.NewPublicationID()
	}
	if p.Whole {
		return o.prepareWhole(pub, p)
	}
	if p.ID != "" {
		if done, err := o.settled(ctx, pub); done || err != nil {
			return config.Publication{}, err
		}
	}
	plan, err := o.plan(ctx, p.Text, p.Delete)
	if err != nil {
		return config.Publication{}, err
	}
	o.reportKept(plan.kept)
	if len(plan.changes) == 0 {
		o.printf("nothing to publish: %s has all of %s\n", versionName(plan.state.Version()), p.Text.Name)
		return config.Publication{}, nil
	}
	for _, c := range plan.changes {
		o.printf("%s\n", o.describe(plan.state, c))
		base, _ := plan.state.Section(c.Service) // zero for a new one
		pub.Sections = append(pub.Sections, config.SectionChange{
			Service: c.Service, Text: c.New, Base: base.Version, Delete: c.Kind == graph.Removed,
		})
	}
	return pub, nil
}

// prepareWhole needs nothing of what is in force: it is the way out when the
// log can no longer tell.
func (o *Operator) prepareWhole(pub config.Publication, p Publication) (config.Publication, error) {
	if len(p.Delete) > 0 {
		return pub, usage("--delete has no meaning with --whole: what the file does not have is taken out")
	}
	if o.log == nil {
		return pub, usage("--log-url is not set: give the address of the platform's log service")
	}
	sections, err := o.split(p.Text, nil)
	if err != nil {
		return pub, err
	}
	if err := o.assemble(p.Text, sections); err != nil {
		return pub, err
	}
	for _, s := range sections {
		pub.Sections = append(pub.Sections, config.SectionChange{Service: s.Service, Text: s.Text})
	}
	return pub, nil
}

// settled reports the outcome of an earlier run. Without this look the
// comparison with what is in force would find the earlier run's own change
// and say that there is nothing to publish.
func (o *Operator) settled(ctx context.Context, pub config.Publication) (bool, error) {
	state, err := o.readState(ctx)
	if err != nil {
		return false, err
	}
	v, ok := state.Verdict(pub.ID)
	if !ok {
		return false, nil
	}
	outcome := config.Outcome{Status: config.Rejected, Version: v.Version, Cause: v.Cause, Repeated: true}
	if v.Accepted {
		outcome.Status = config.Accepted
	}
	return true, o.report(pub, outcome)
}

func (o *Operator) report(pub config.Publication, outcome config.Outcome) error {
	earlier := ""
	if outcome.Repeated {
		earlier = " (settled by an earlier run)"
	}
	switch outcome.Status {
	case config.Accepted:
		o.printf("accepted at version %d%s\n", outcome.Version, earlier)
		return nil
	case config.Rejected:
		o.printf("rejected%s: %s\n", earlier, printable(outcome.Cause))
		return refused("publication %s changed nothing; look at what is in force with diff, then publish again", pub.ID)
	default:
		return fmt.Errorf("outcome of publication %s is not known", pub.ID)
	}
}

func (o *Operator) unsettled(pub config.Publication, err error) error {
	o.adviseNoBase(err)
	if errors.Is(err, config.ErrUnsettled) {
		o.printf("the outcome is not known; publish the same file again with --id %s: it cannot count twice\n", pub.ID)
	}
	return err
}

func (o *Operator) adviseNoBase(err error) {
	if errors.Is(err, config.ErrNoBase) {
		o.printf("the log no longer holds what is needed to judge a change; any node that runs a configuration\n" +
			"writes it back within seconds, so try again; if no node has one, publish the whole text with --whole\n")
	}
}
