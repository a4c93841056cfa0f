package catalogue

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// MaxEncoded is the size limit of a value in the store, in bytes; an encoded
// catalogue is smaller.
const MaxEncoded = 1 << 20

// Encode returns the canonical JSON of c: the same catalogue gives the same
// bytes, whatever order its workspaces and entries were written in.
func Encode(c *Catalogue) ([]byte, error) {
	copied := clone(c)
	normalise(copied)
	if err := validate(copied).asError(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(copied)
	if err != nil {
		return nil, fmt.Errorf("encode catalogue: %w", err)
	}
	if len(data) >= MaxEncoded {
		return nil, Problems{{Message: fmt.Sprintf("catalogue has %d bytes encoded", len(data)), Allowed: fmt.Sprintf("under %d bytes", MaxEncoded)}}
	}
	return data, nil
}

// Decode reads what Encode wrote and checks it. It ignores unknown fields, so
// that instances of two releases can run side by side.
func Decode(data []byte) (*Catalogue, error) {
	if len(data) >= MaxEncoded {
		return nil, Problems{{Message: fmt.Sprintf("catalogue has %d bytes encoded", len(data)), Allowed: fmt.Sprintf("under %d bytes", MaxEncoded)}}
	}
	c := new(Catalogue)
	if err := json.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("decode catalogue: %w", err)
	}
	normalise(c)
	if err := validate(c).asError(); err != nil {
		return nil, err
	}
	return c, nil
}

// clone copies c so deeply that normalise leaves the original alone.
func clone(c *Catalogue) *Catalogue {
	d := *c
	d.Workspaces = slices.Clone(c.Workspaces)
	for i := range d.Workspaces {
		d.Workspaces[i].TokenHashes = slices.Clone(d.Workspaces[i].TokenHashes)
	}
	d.Entries = slices.Clone(c.Entries)
	for i := range d.Entries {
		d.Entries[i].Limits = slices.Clone(d.Entries[i].Limits)
		d.Entries[i].Repeatable = slices.Clone(d.Entries[i].Repeatable)
	}
	d.Moves = slices.Clone(c.Moves)
	d.History = slices.Clone(c.History)
	return &d
}

// normalise sorts what has no order, puts times into UTC and replaces nil by
// empty lists. The history keeps its order.
func normalise(c *Catalogue) {
	c.Changed = instant(c.Changed)
	c.Workspaces = sorted(c.Workspaces, func(w Workspace) string { return w.Name })
	for i := range c.Workspaces {
		c.Workspaces[i].TokenHashes = sorted(c.Workspaces[i].TokenHashes, func(s string) string { return s })
	}
	c.Entries = sorted(c.Entries, func(e Entry) string { return e.Name })
	for i := range c.Entries {
		e := &c.Entries[i]
		e.MoveBy = instant(e.MoveBy)
		e.Limits = sorted(e.Limits, func(l Limit) string { return l.Workspace })
		e.Repeatable = sorted(e.Repeatable, func(s string) string { return s })
	}
	c.Moves = sorted(c.Moves, func(m Move) string { return m.Entry })
	for i := range c.Moves {
		m := &c.Moves[i]
		m.Start, m.Deadline, m.KeepUntil = instant(m.Start), instant(m.Deadline), instant(m.KeepUntil)
	}
	if c.History == nil {
		c.History = []Change{}
	}
	for i := range c.History {
		c.History[i].Changed = instant(c.History[i].Changed)
		if len(c.History[i].Summary) == 0 {
			c.History[i].Summary = nil
		}
	}
}

// instant drops the monotonic clock reading and the location.
func instant(t time.Time) time.Time { return t.Round(0).UTC() }

func sorted[T any](s []T, key func(T) string) []T {
	if s == nil {
		return []T{}
	}
	slices.SortStableFunc(s, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return s
}
