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

// SectionChange is the change of one section by a publication.
type SectionChange struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Text is the new text. It is empty for a deletion.
	Text string
	// BaseVersion is the version of the section that the writer changed. Zero means
	// that the section must not exist.
	BaseVersion uint64
	Delete      bool
}

// Publication is one operator's change. It is accepted as a whole if every
// BaseVersion equals the section's version at the publication's record and the
// resulting graph is valid. Otherwise it is rejected as a whole.
type Publication struct {
	// ID identifies the publication across repeated appends: only the first
	// copy is judged. A copy that is published more than 512 records later, or
	// after a replacement, is judged again.
	ID string `cbor:"1,keyasint"`
	// Operator is the name shown to another operator whose change conflicts.
	Operator string          `cbor:"2,keyasint,omitempty"`
	Sections []SectionChange `cbor:"3,keyasint"`
	// ReadOffset is the as-of offset up to which the writer had read. Publish sets
	// it.
	ReadOffset uint64 `cbor:"4,keyasint"`
	// Whole makes the publication a replacement of all sections; bases are
	// ignored. It is needed when the log has trimmed the records required to
	// judge a change, so it is judged by its own record alone: it is accepted
	// if its graph is valid and its offset equals ReadOffset. It therefore
	// overwrites no change that its writer could not read, and no second copy
	// is accepted.
	Whole bool `cbor:"5,keyasint,omitempty"`
}

// NewPublicationID returns a random publication ID.
func NewPublicationID() string { return wire.NewNodeID().String() }

// record is a record of the stream. Exactly one field is set.
type record struct {
	Publication *Publication `cbor:"1,keyasint,omitempty"`
	Checkpoint  *Update      `cbor:"2,keyasint,omitempty"`
}

// Encode returns the publication as a record of the stream.
func (p *Publication) Encode() ([]byte, error) {
	return wire.Marshal(record{Publication: p})
}

// check reports an error if the publication is invalid at any offset.
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
	if c.Delete && (whole || c.BaseVersion == 0 || c.Text != "") {
		return fmt.Errorf("deletion of section %s: want a base, no text, and no replacement of everything", c.Service)
	}
	return nil
}
