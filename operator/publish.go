package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/graph"
)

// Publication is a request to publish a text.
type Publication struct {
	Text Text
	// Operator is the name of the operator as shown to others.
	Operator string
	// Delete lists services to remove. Other services in force that are not in
	// the text are kept, so that a file of one service doesn't remove all others.
	Delete []string
	// ID is the id of an earlier publication whose outcome is unknown; empty for
	// a new publication.
	ID string
	// Whole replaces the whole configuration in force.
	Whole bool
}

// plan holds the changes of a publication.
type plan struct {
	state   *config.State
	changes []graph.Change
	// kept lists the services in force that are not in the file and stay.
	kept []string
}

// Diff prints the changes that publishing the text would make.
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

// describe returns a line about a change of a service.
func (o *Operator) describe(state *config.State, c graph.Change) string {
	s, ok := state.Section(c.Service)
	if !ok {
		return fmt.Sprintf("service %s: %s", c.Service, c.Kind)
	}
	return fmt.Sprintf("service %s: %s; in force since version %d, by %s", c.Service, c.Kind, s.Version, printable(s.Operator))
}

// reportKept prints the services that are kept although the file lacks them.
func (o *Operator) reportKept(kept []string) {
	for _, service := range kept {
		o.printf("service %s: in force but not in the file, kept (--delete %s takes it out)\n", service, service)
	}
}

// plan reads the configuration in force and checks the resulting one.
func (o *Operator) plan(ctx context.Context, t Text, deleted []string) (plan, error) {
	sections, err := o.splitText(t, deleted)
	if err != nil {
		return plan{}, err
	}
	state, err := o.readState(ctx)
	if err != nil {
		return plan{}, err
	}
	current := sectionsOf(state)
	for _, service := range deleted {
		if !hasSection(current, service) {
			return plan{}, refused("--delete %s: no such service in force", service)
		}
	}
	merged := overlay(current, sections, deleted)
	if err := o.checkSections(t, merged); err != nil {
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

// splitText returns the sections of a text. The deleted services must not be in it.
func (o *Operator) splitText(t Text, deleted []string) ([]graph.Section, error) {
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

// sectionsOf returns the sections of a configuration.
func sectionsOf(state *config.State) []graph.Section {
	var sections []graph.Section
	for _, s := range state.Sections() {
		sections = append(sections, graph.Section{Service: s.Service, Text: s.Text})
	}
	return sections
}

// readState reads the configuration in force from the log.
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

// Publish publishes the sections that differ from those in force as one publication,
// which is accepted or rejected as a whole. The error wraps ErrRefused if it is
// rejected, and config.ErrOutcomeUnknown if the outcome is unknown.
func (o *Operator) Publish(ctx context.Context, p Publication) error {
	pub, err := o.prepare(ctx, p)
	if err != nil || len(pub.Sections) == 0 {
		return err
	}
	// The id is printed before the publication is written, so that the operator
	// can find out the outcome if the command is interrupted.
	o.printf("publication %s by %s: %d sections\n", pub.ID, printable(pub.Operator), len(pub.Sections))
	outcome, err := config.Publish(ctx, o.log, pub)
	if err != nil {
		return o.publishFailed(pub, err)
	}
	return o.reportOutcome(pub, outcome)
}

// prepare returns the publication to write. It has no sections if there is nothing to
// publish.
func (o *Operator) prepare(ctx context.Context, p Publication) (config.Publication, error) {
	pub := config.Publication{ID: p.ID, Operator: p.Operator, Whole: p.Whole}
	if pub.ID == "" {
		pub.ID = config.NewPublicationID()
	}
	if p.Whole {
		return o.prepareWhole(pub, p)
	}
	if p.ID != "" {
		if settled, err := o.reportSettled(ctx, pub); settled || err != nil {
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
		base, _ := plan.state.Section(c.Service) // the zero value for a new service
		pub.Sections = append(pub.Sections, config.SectionChange{
			Service: c.Service, Text: c.New, BaseVersion: base.Version, Delete: c.Kind == graph.Removed,
		})
	}
	return pub, nil
}

// prepareWhole returns a publication that replaces the whole configuration. It doesn't
// read the configuration in force, so it works if the log no longer has it.
func (o *Operator) prepareWhole(pub config.Publication, p Publication) (config.Publication, error) {
	if len(p.Delete) > 0 {
		return pub, usage("--delete has no meaning with --whole: what the file does not have is taken out")
	}
	if o.log == nil {
		return pub, usage("--log-url is not set: give the address of the platform's log service")
	}
	sections, err := o.splitText(p.Text, nil)
	if err != nil {
		return pub, err
	}
	if err := o.checkSections(p.Text, sections); err != nil {
		return pub, err
	}
	for _, s := range sections {
		pub.Sections = append(pub.Sections, config.SectionChange{Service: s.Service, Text: s.Text})
	}
	return pub, nil
}

// reportSettled prints the outcome of an earlier publication with the same id, if there
// is one in the log. Otherwise a repeated publication that was accepted would find its
// own change in force and print that there is nothing to publish.
func (o *Operator) reportSettled(ctx context.Context, pub config.Publication) (bool, error) {
	state, err := o.readState(ctx)
	if err != nil {
		return false, err
	}
	v, ok := state.Verdict(pub.ID)
	if !ok {
		return false, nil
	}
	outcome := config.Outcome{Status: config.Rejected, Version: v.Version, Cause: v.Cause, FromEarlierCall: true}
	if v.Accepted {
		outcome.Status = config.Accepted
	}
	return true, o.reportOutcome(pub, outcome)
}

// reportOutcome prints the outcome of a publication and returns an error unless it was
// accepted.
func (o *Operator) reportOutcome(pub config.Publication, outcome config.Outcome) error {
	repeatedNote := ""
	if outcome.FromEarlierCall {
		repeatedNote = " (settled by an earlier run)"
	}
	switch outcome.Status {
	case config.Accepted:
		o.printf("accepted at version %d%s\n", outcome.Version, repeatedNote)
		return nil
	case config.Rejected:
		o.printf("rejected%s: %s\n", repeatedNote, printable(outcome.Cause))
		return refused("publication %s changed nothing; look at what is in force with diff, then publish again", pub.ID)
	default:
		return fmt.Errorf("outcome of publication %s is not known", pub.ID)
	}
}

// publishFailed prints how to continue after a failed publication and returns err.
func (o *Operator) publishFailed(pub config.Publication, err error) error {
	o.adviseNoBase(err)
	if errors.Is(err, config.ErrOutcomeUnknown) {
		o.printf("the outcome is not known; publish the same file again with --id %s: it cannot count twice\n", pub.ID)
	}
	return err
}

// adviseNoBase prints how to continue if the log lacks the base of a change.
func (o *Operator) adviseNoBase(err error) {
	if errors.Is(err, config.ErrNoBase) {
		o.printf("the log no longer holds what is needed to judge a change; any node that runs a configuration\n" +
			"writes it back within seconds, so try again; if no node has one, publish the whole text with --whole\n")
	}
}
