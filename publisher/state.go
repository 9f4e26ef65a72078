package publisher

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"

	"savoryroad.dev/appender"
	"savoryroad.dev/loader"
	"savoryroad.dev/registrar"
)

// keptChanges is how many accepted changes a state remembers, for telling
// repeats and the winners of races.
const keptChanges = 256

// State is the configuration after some prefix of the stream. States are
// values: Fold leaves its receiver as it was.
type State struct {
	// Revision counts the accepted changes.
	Revision Revision
	// Base is the base document in canonical JSON; empty means none yet.
	Base json.RawMessage `json:",omitempty"`
	// Overlays holds the sites' overlays in canonical JSON.
	Overlays map[loader.SiteName]json.RawMessage
	// Recent holds the latest accepted changes, oldest first.
	Recent []Accepted
	// Fleet says which entry owns which share.
	Fleet registrar.Table
}

// Fold returns the state after a record, and what became of the record. It
// depends on nothing but the state and the record: not on the clock, and not
// on whether the documents are valid, which a newer version of this program
// might judge otherwise.
func (s State) Fold(r appender.Record) (State, Verdict) {
	var e Entry
	if err := json.Unmarshal(r.Data, &e); err != nil {
		return s, Junk{Reason: errors.Wrap(err, "record")}
	}
	switch {
	case e.Change != nil:
		return s.foldChange(*e.Change, r)
	case e.Snapshot != nil:
		return s, Keep{Through: e.Snapshot.Through}
	case e.Fleet != nil:
		var n int
		s.Fleet, n = s.Fleet.Fold(*e.Fleet, registrar.Term(r.Offset), r.Time)
		return s, Move{Shares: n}
	default:
		return s, Junk{Reason: errors.New("record is of no known kind")}
	}
}

func (s State) foldChange(c Change, r appender.Record) (State, Verdict) {
	if a, ok := s.Find(c.ID); ok {
		return s, Repeat{Accepted: a}
	}
	if c.Expected != s.Revision {
		return s, s.Lose(c.ID, c.Expected)
	}
	next, err := s.Apply(c)
	if err != nil {
		return s, Junk{Reason: err}
	}
	next.Revision = s.Revision + 1
	a := Accepted{
		ID:       c.ID,
		Revision: next.Revision,
		Offset:   r.Offset,
		Time:     r.Time,
		Author:   c.Author,
		Note:     c.Note,
	}
	next.Recent = append(slices.Clone(s.Recent), a)
	if n := len(next.Recent); n > keptChanges {
		next.Recent = next.Recent[n-keptChanges:]
	}
	return next, Accept{Accepted: a}
}

// Apply patches the documents without accepting the change; the revision stays
// as it was. An error is a patch that can't be applied.
func (s State) Apply(c Change) (State, error) {
	var err error
	if len(c.Base) > 0 {
		if s.Base, err = patch(s.Base, c.Base); err != nil {
			return s, errors.Wrap(err, "base")
		}
	}
	if len(c.Overlays) == 0 {
		return s, nil
	}
	overlays := maps.Clone(s.Overlays)
	if overlays == nil {
		overlays = map[loader.SiteName]json.RawMessage{}
	}
	for site, p := range c.Overlays {
		if overlays[site], err = patch(overlays[site], p); err != nil {
			return s, errors.Wrapf(err, "overlay %s", site)
		}
	}
	s.Overlays = overlays
	return s, nil
}

// Find returns the accepted change with that id, if it is remembered.
func (s State) Find(id ChangeID) (Accepted, bool) {
	for _, a := range s.Recent {
		if a.ID == id {
			return a, true
		}
	}
	return Accepted{}, false
}

// winner returns the change that was accepted on the expected revision; it is
// zero when that is no longer, or not yet, known.
func (s State) winner(expected Revision) Accepted {
	for _, a := range s.Recent {
		if a.Revision == expected+1 {
			return a
		}
	}
	return Accepted{}
}

// Render returns the configuration of one site.
func (s State) Render(site loader.SiteName) (loader.Config, loader.Findings) {
	base, findings := loader.Parse("base", s.BaseJSON())
	overlay, more := loader.Parse("overlay "+string(site), s.OverlayJSON(site))
	findings = append(findings, more...)
	if len(findings) > 0 {
		return loader.Config{}, findings
	}
	return loader.Render(base, overlay)
}

// BaseJSON returns the base document in canonical JSON.
func (s State) BaseJSON() []byte { return orEmpty(s.Base) }

// OverlayJSON returns a site's overlay in canonical JSON.
func (s State) OverlayJSON(site loader.SiteName) []byte { return orEmpty(s.Overlays[site]) }

// Lose returns the rejection of a change that expects an older revision.
func (s State) Lose(id ChangeID, expected Revision) Reject {
	return Reject{ID: id, Expected: expected, Winner: s.winner(expected)}
}

// Sites lists the sites that have an overlay, in order.
func (s State) Sites() []loader.SiteName { return slices.Sorted(maps.Keys(s.Overlays)) }

// Diff returns the change that turns this state's documents into the ones
// given. Sites that are not given keep their overlay. It is empty, with no
// patch, when nothing differs.
func (s State) Diff(base []byte, overlays map[loader.SiteName][]byte) (Change, error) {
	c := Change{Expected: s.Revision}
	var err error
	if base != nil {
		if c.Base, err = diff(s.Base, base); err != nil {
			return c, errors.Wrap(err, "base")
		}
	}
	for site, doc := range overlays {
		p, err := diff(s.Overlays[site], doc)
		if err != nil {
			return c, errors.Wrapf(err, "overlay %s", site)
		}
		if p == nil {
			continue
		}
		if c.Overlays == nil {
			c.Overlays = map[loader.SiteName]json.RawMessage{}
		}
		c.Overlays[site] = p
	}
	return c, nil
}

// Empty tells whether the change changes nothing.
func (c Change) Empty() bool { return len(c.Base) == 0 && len(c.Overlays) == 0 }

// patch applies a merge patch to a document, which stays a JSON object.
func patch(doc, p json.RawMessage) (json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(p, &fields); err != nil || fields == nil {
		return nil, errors.New("patch is not a JSON object")
	}
	return jsonpatch.MergePatch(orEmpty(doc), p)
}

// diff returns the merge patch from one document to another, or nil.
func diff(from, to []byte) (json.RawMessage, error) {
	p, err := jsonpatch.CreateMergePatch(orEmpty(from), to)
	if err != nil || string(p) == "{}" {
		return nil, err
	}
	return p, nil
}

func orEmpty(doc json.RawMessage) json.RawMessage {
	if len(doc) == 0 {
		return json.RawMessage("{}")
	}
	return doc
}
