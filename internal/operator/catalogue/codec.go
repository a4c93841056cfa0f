package catalogue

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// MaxEncodedBytes is the size limit, in bytes, of a value in the store. An encoded
// catalogue must be smaller.
const MaxEncodedBytes = 1 << 20

// Encode validates c and returns its canonical JSON, which does not depend on the
// order of workspaces, entries and other unordered lists. It does not modify c.
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
	if len(data) >= MaxEncodedBytes {
		return nil, Problems{{Message: fmt.Sprintf("catalogue has %d bytes encoded", len(data)), Allowed: fmt.Sprintf("under %d bytes", MaxEncodedBytes)}}
	}
	return data, nil
}

// Decode reads and validates JSON written by Encode. It ignores unknown fields so
// that instances of two releases can run side by side.
func Decode(data []byte) (*Catalogue, error) {
	if len(data) >= MaxEncodedBytes {
		return nil, Problems{{Message: fmt.Sprintf("catalogue has %d bytes encoded", len(data)), Allowed: fmt.Sprintf("under %d bytes", MaxEncodedBytes)}}
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

// clone copies c deeply enough that normalise on the copy does not modify c.
func clone(c *Catalogue) *Catalogue {
	copied := *c
	copied.Workspaces = slices.Clone(c.Workspaces)
	for i := range copied.Workspaces {
		copied.Workspaces[i].TokenHashes = slices.Clone(copied.Workspaces[i].TokenHashes)
	}
	copied.Entries = slices.Clone(c.Entries)
	for i := range copied.Entries {
		copied.Entries[i].Limits = slices.Clone(copied.Entries[i].Limits)
		copied.Entries[i].Repeatable = slices.Clone(copied.Entries[i].Repeatable)
	}
	copied.Moves = slices.Clone(c.Moves)
	copied.History = slices.Clone(c.History)
	return &copied
}

// normalise sorts unordered lists, converts times to UTC and replaces nil lists
// by empty ones. The history keeps its order, and an empty summary becomes nil.
func normalise(c *Catalogue) {
	c.Changed = canonicalTime(c.Changed)
	c.Workspaces = sorted(c.Workspaces, func(w Workspace) string { return w.Name })
	for i := range c.Workspaces {
		c.Workspaces[i].TokenHashes = sorted(c.Workspaces[i].TokenHashes, func(s string) string { return s })
	}
	c.Entries = sorted(c.Entries, func(e Entry) string { return e.Name })
	for i := range c.Entries {
		e := &c.Entries[i]
		e.MoveBy = canonicalTime(e.MoveBy)
		e.Limits = sorted(e.Limits, func(l Limit) string { return l.Workspace })
		e.Repeatable = sorted(e.Repeatable, func(s string) string { return s })
	}
	c.Moves = sorted(c.Moves, func(m Move) string { return m.Entry })
	for i := range c.Moves {
		m := &c.Moves[i]
		m.Start, m.Deadline, m.KeepUntil = canonicalTime(m.Start), canonicalTime(m.Deadline), canonicalTime(m.KeepUntil)
	}
	if c.History == nil {
		c.History = []Change{}
	}
	for i := range c.History {
		c.History[i].Changed = canonicalTime(c.History[i].Changed)
		if len(c.History[i].Summary) == 0 {
			c.History[i].Summary = nil
		}
	}
}

// canonicalTime returns t in UTC without its monotonic clock reading.
func canonicalTime(t time.Time) time.Time { return t.Round(0).UTC() }

// sorted sorts s in place by key and returns it, or an empty slice if s is nil.
func sorted[T any](s []T, key func(T) string) []T {
	if s == nil {
		return []T{}
	}
	slices.SortStableFunc(s, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return s
}
