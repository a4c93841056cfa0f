package admin

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
)

var namespace = errorx.NewNamespace("admin")

// Error types of a Client.
var (
	// ErrStore means that the store could not be read or written and that
	// nothing was changed.
	ErrStore = namespace.NewType("store")
	// ErrOutcomeUnknown means that the outcome of a write is unknown: it may
	// still take effect.
	ErrOutcomeUnknown = namespace.NewType("unsettled")
	// ErrInvalid means that the stored catalogue cannot be decoded.
	ErrInvalid = namespace.NewType("invalid")
)

// storeError wraps an error of the store in ErrStore, with the action that
// failed.
func storeError(action string, err error) error {
	switch {
	case errors.Is(err, kv.ErrTooLarge):
		return ErrStore.Wrap(err, "could not %s: the catalogue is too large; nothing was changed", action)
	default:
		return ErrStore.Wrap(err, "could not %s: the store request failed; nothing was changed", action)
	}
}

// ConflictError means that a file is not based on the current revision of the
// catalogue. Nothing was changed.
type ConflictError struct {
	BasedOn, Current int64
	// Changes are the changes since BasedOn, oldest first.
	Changes []catalogue.Change
	// Incomplete is true if the history no longer reaches back to BasedOn.
	Incomplete bool
}

func newConflictError(basedOn int64, s *catalogue.Snapshot) *ConflictError {
	c := &ConflictError{BasedOn: basedOn, Current: s.Revision, Incomplete: true}
	for _, h := range s.Catalogue.History {
		if h.BasedOn >= basedOn {
			c.Changes = append(c.Changes, h)
			c.Incomplete = c.Incomplete && h.BasedOn != basedOn
		}
	}
	return c
}

// Error lists the changes since BasedOn and the steps to resolve the conflict.
func (c *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "conflict: the file is based on revision %d, the catalogue is at %d; nothing was changed\n", c.BasedOn, c.Current)
	if c.Current < c.BasedOn {
		b.WriteString("the file comes from another catalogue\n")
	} else if c.Incomplete {
		b.WriteString("changes since (the earliest are no longer in the history):\n")
	} else {
		b.WriteString("changes since:\n")
	}
	for _, h := range c.Changes {
		fmt.Fprintf(&b, "  %s at %s, operation %s: %s\n", h.Author, h.Changed.Format(time.RFC3339), h.Operation, h.Comment)
		for _, line := range h.Summary {
			fmt.Fprintf(&b, "    %s\n", line)
		}
	}
	b.WriteString("to go on, run wasabiworks catalogue show, repeat the edit in its output and apply that")
	return b.String()
}
