package operator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/wire"
)

// Paths of the operators' interface of a node.
const (
	pathMembers = "/members"
	pathVersion = "/version"
	pathState   = "/state"
	pathExplain = "/explain/"
)

// maxErrorBytes limits the part of an error answer that an error quotes.
const maxErrorBytes = 200

// member is a membership record as /members encodes it, with the state as a name.
type member struct {
	membership.Record
	State string `json:"state"`
}

// answer is the decoded answer of a member, or the error of the request.
type answer[T any] struct {
	member member
	value  T
	err    error
}

// get requests a path of a node and returns the body. The error wraps ErrUsage if addr
// is not valid.
func (o *Operator) get(ctx context.Context, addr, path string) ([]byte, error) {
	if err := checkAddr(addr); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.cfg.AskTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", addr, err)
	}
	resp, err := o.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", addr, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, o.cfg.MaxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("ask %s: read answer: %w", addr, err)
	}
	if int64(len(body)) > o.cfg.MaxAnswerBytes {
		return nil, fmt.Errorf("ask %s: the answer has more than %d bytes", addr, o.cfg.MaxAnswerBytes)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("ask %s: status %d: %.*s", addr, resp.StatusCode, maxErrorBytes, bytes.TrimSpace(body))
	}
	return body, nil
}

// ask requests a path of a node and decodes the answer.
func ask[T any](ctx context.Context, o *Operator, addr, path string) (T, error) {
	var v T
	body, err := o.get(ctx, addr, path)
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return v, fmt.Errorf("ask %s: answer to %s: %w", addr, path, err)
	}
	return v, nil
}

// askAll requests a path of all members concurrently. The answers have the order of
// members and include the errors of failed requests.
func askAll[T any](ctx context.Context, o *Operator, members []member, path string) []answer[T] {
	answers := make([]answer[T], len(members))
	var g errgroup.Group
	g.SetLimit(o.cfg.Concurrency)
	for i, m := range members {
		g.Go(func() error {
			v, err := ask[T](ctx, o, m.OpsAddr, path)
			answers[i] = answer[T]{member: m, value: v, err: err}
			return nil
		})
	}
	g.Wait() // the functions return no error
	return answers
}

// members returns the union of the members that the given nodes know, since nodes on
// the sides of a network partition know different ones. Of two records of a member it
// keeps the one with the higher incarnation. It fails if no node answers.
func (o *Operator) members(ctx context.Context) ([]member, error) {
	if len(o.nodes) == 0 {
		return nil, usage("--node is not set: give the operators' address of any node")
	}
	byID := make(map[wire.NodeID]member)
	var errs []error
	for _, a := range o.askSeeds(ctx) {
		if a.err != nil {
			errs = append(errs, a.err)
			continue
		}
		for _, m := range a.value {
			if known, ok := byID[m.ID]; !ok || known.Incarnation < m.Incarnation {
				byID[m.ID] = m
			}
		}
	}
	if len(errs) == len(o.nodes) {
		return nil, fmt.Errorf("no node answered: %w", errors.Join(errs...))
	}
	for _, err := range errs {
		o.printf("warning: %v\n", err)
	}
	return sortedMembers(byID), nil
}

// askSeeds asks the given nodes for their members.
func (o *Operator) askSeeds(ctx context.Context) []answer[[]member] {
	seeds := make([]member, len(o.nodes))
	for i, addr := range o.nodes {
		seeds[i].OpsAddr = addr
	}
	return askAll[[]member](ctx, o, seeds, pathMembers)
}

// sortedMembers returns the members sorted by data centre, service and id.
func sortedMembers(byID map[wire.NodeID]member) []member {
	members := make([]member, 0, len(byID))
	for _, m := range byID {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b member) int {
		return cmp.Or(
			cmp.Compare(a.DataCentre, b.DataCentre),
			cmp.Compare(a.Service, b.Service),
			bytes.Compare(a.ID[:], b.ID[:]),
		)
	})
	return members
}

// reportFailures prints the members that did not answer, up to MaxListed by name, and
// returns their number.
func reportFailures[T any](o *Operator, answers []answer[T]) int {
	n := 0
	for _, a := range answers {
		if a.err == nil {
			continue
		}
		n++
		if n <= o.cfg.MaxListed {
			o.printf("could not ask %s (%s, %s, %s): %v\n", a.member.ID.Short(), a.member.Service, a.member.DataCentre, a.member.State, a.err)
		}
	}
	if n > o.cfg.MaxListed {
		o.printf("could not ask %d more nodes\n", n-o.cfg.MaxListed)
	}
	return n
}
