package config

import (
	"errors"
	"fmt"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/wire"
)

const (
	maxIDBytes       = 64
	maxOperatorBytes = 128
)

// SectionChange is what a publication does to one section.
type SectionChange struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Text is the new text, empty for a deletion.
	Text string
	// Base is the version of the section that the change was made on; zero
	// means that the section must not exist.
	Base   uint64
	Delete bool
}

// Publication is one operator's change. It is accepted as a whole, if every
// Base is the section's version at the publication's place in the log and the
// whole graph stays valid, or rejected as a whole.
type Publication struct {
	// ID names the publication however often it is appended: only the first
	// copy is judged. Whoever publishes it again more than 512 records later,
	// or after a replacement of everything, has it judged anew.
	ID string `cbor:"1,keyasint"`
	// Operator is for people: who lost a race is told who won.
	Operator string          `cbor:"2,keyasint,omitempty"`
	Sections []SectionChange `cbor:"3,keyasint"`
	// ReadTo is the as-of offset that the writer had read to; Publish sets it.
	ReadTo uint64 `cbor:"4,keyasint"`
	// Whole replaces everything that is in force by Sections, whose bases
	// are ignored. It is the way out when the log has trimmed what would be
	// needed to judge a change, so it is judged by its own record alone: it
	// is accepted if its graph is valid and nothing was appended between
	// ReadTo and it. So it overwrites no change that its writer could not
	// see in the log, and no second copy of a record is ever accepted.
	Whole bool `cbor:"5,keyasint,omitempty"`
}

// NewPublicationID draws an ID.
func NewPublicationID() string { return wire.NewNodeID().String() }

// record is what stands in the stream; exactly one field is set.
type record struct {
	Publication *Publication `cbor:"1,keyasint,omitempty"`
	Checkpoint  *Update      `cbor:"2,keyasint,omitempty"`
}

// Encode returns the record of the publication.
func (p *Publication) Encode() ([]byte, error) {
	return wire.Marshal(record{Publication: p})
}

// check finds what makes a publication meaningless at any place in the log.
func (p *Publication) check() error {
	if p.ID == "" || len(p.ID) > maxIDBytes {
		return fmt.Errorf("publication id: want 1 to %d bytes, have %d", maxIDBytes, len(p.ID))
	}
	if len(p.Operator) > maxOperatorBytes {
		return fmt.Errorf("operator: want at most %d bytes, have %d", maxOperatorBytes, len(p.Operator))
	}
	if len(p.Sections) == 0 {
		return errors.New("publication changes no section")
	}
	if len(p.Sections) > graph.MaxServices {
		return fmt.Errorf("publication changes %d sections, the limit is %d", len(p.Sections), graph.MaxServices)
	}
	seen := make(map[string]bool, len(p.Sections))
	for _, c := range p.Sections {
		if seen[c.Service] {
			return fmt.Errorf("section %s is changed twice", c.Service)
		}
		seen[c.Service] = true
		if err := c.check(p.Whole); err != nil {
			return err
		}
	}
	return nil
}

func (c SectionChange) check(whole bool) error {
	if c.Service == "" || len(c.Service) > graph.MaxNameBytes {
		return fmt.Errorf("section name %q: want 1 to %d bytes", c.Service, graph.MaxNameBytes)
	}
	if len(c.Text) > graph.MaxSectionBytes {
		return fmt.Errorf("section %s has %d bytes, the limit is %d", c.Service, len(c.Text), graph.MaxSectionBytes)
	}
	if c.Delete && (whole || c.Base == 0 || c.Text != "") {
		return fmt.Errorf("deletion of section %s: want a base, no text, and no replacement of everything", c.Service)
	}
	return nil
}
