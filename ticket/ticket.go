// Package ticket parses and validates change tickets. A ticket is a YAML file with
// a number, the complete new definition of every object that it creates or updates,
// and the objects to remove. Tickets are applied atomically.
//
// Parse reports every finding with its line and column. The canonical form of a
// ticket does not depend on comments, field order and layout, so two files with the
// same content have the same digest.
//
// # Usage
//
//	t, err := ticket.Parse("12.yaml", data)
//	if err != nil {
//		fmt.Println(err) // one finding per line
//	}
//	digest, err := t.Digest()
package ticket

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/state"
)

// ErrNotCanonical means that data is not a ticket in canonical form.
var ErrNotCanonical = errors.New("not the canonical form of a ticket")

// Digest is the SHA-256 digest of a ticket's canonical form.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Position is a position in a ticket file.
type Position struct {
	Line   int
	Column int
}

// Ticket is a validated change ticket.
type Ticket struct {
	Number uint64
	// Set holds the objects to create or update, ordered by kind and name.
	Set []state.Object
	// Remove refers to the objects to remove, ordered by kind and name.
	Remove []state.Ref
	// Plan is set if the ticket is a plan.
	Plan *Plan

	positions map[state.Ref]Position
}

// Plan marks a ticket that replaces all workspaces, pools and routes. Plans have
// versions of their own instead of ticket numbers; the highest version is in force.
type Plan struct {
	Version uint64 `json:"version"`
	// Source is the plan in the form in which it was submitted. It is only returned to
	// readers.
	Source []byte `json:"source"`
}

// NewPlan returns the ticket of a plan that consists of the given objects.
func NewPlan(version uint64, source []byte, objects ...state.Object) Ticket {
	t := Ticket{Set: slices.Clone(objects), Plan: &Plan{Version: version, Source: source}}
	return t.sorted()
}

// Change returns the state change of the ticket at a log index.
func (t Ticket) Change(index uint64) state.Change {
	return state.Change{Index: index, TicketNumber: t.Number, Set: t.Set, Remove: t.Remove}
}

// Position returns where an object occurs in the ticket file, or the zero Position.
func (t Ticket) Position(r state.Ref) Position { return t.positions[r] }

// Refs returns references to all objects that the ticket sets or removes.
func (t Ticket) Refs() []state.Ref {
	refs := slices.Clone(t.Remove)
	for _, o := range t.Set {
		refs = append(refs, o.Ref())
	}
	return refs
}

// Digest returns the digest of the canonical form.
func (t Ticket) Digest() (Digest, error) {
	data, err := t.Canonical()
	if err != nil {
		return Digest{}, err
	}
	return sha256.Sum256(data), nil
}

// canonical is the JSON structure of a ticket's canonical form.
type canonical struct {
	Number uint64            `json:"number"`
	Set    []canonicalObject `json:"set,omitempty"`
	Remove []canonicalRef    `json:"remove,omitempty"`
	Plan   *Plan             `json:"plan,omitempty"`
}

type canonicalObject struct {
	Kind state.Kind      `json:"kind"`
	Body json.RawMessage `json:"body"`
}

type canonicalRef struct {
	Kind state.Kind `json:"kind"`
	Name string     `json:"name"`
}

// Canonical returns the canonical form of the ticket, as JSON.
func (t Ticket) Canonical() ([]byte, error) {
	form := canonical{Number: t.Number, Plan: t.Plan}
	for _, o := range t.Set {
		body, err := state.Encode(o)
		if err != nil {
			return nil, err
		}
		form.Set = append(form.Set, canonicalObject{o.Ref().Kind, body})
	}
	for _, r := range t.Remove {
		form.Remove = append(form.Remove, canonicalRef(r))
	}
	return json.Marshal(form)
}

// Decode decodes a ticket from its canonical form.
func Decode(data []byte) (Ticket, error) {
	var form canonical
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&form); err != nil {
		return Ticket{}, errors.Wrap(ErrNotCanonical, err.Error())
	}
	t := Ticket{Number: form.Number, Plan: form.Plan}
	for _, o := range form.Set {
		object, err := state.Decode(o.Kind, o.Body)
		if err != nil {
			return Ticket{}, errors.Wrap(ErrNotCanonical, err.Error())
		}
		t.Set = append(t.Set, object)
	}
	for _, r := range form.Remove {
		t.Remove = append(t.Remove, state.Ref(r))
	}
	return t, nil
}

// sorted sorts the objects in canonical order and returns the ticket.
func (t Ticket) sorted() Ticket {
	slices.SortFunc(t.Set, func(a, b state.Object) int { return compareRefs(a.Ref(), b.Ref()) })
	slices.SortFunc(t.Remove, compareRefs)
	return t
}

func compareRefs(a, b state.Ref) int {
	if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}
