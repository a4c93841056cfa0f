package admin

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
)

// Keys of the store that operators read and write.
const (
	// CatalogueKey holds the catalogue.
	CatalogueKey = "catalogue"
	// VetoPrefix, followed by the ID of a move, is the key of the move's veto.
	// The key exists only if the move was rolled back.
	VetoPrefix = "vetoes/"
)

// The store is read up to resolveReads times, resolveInterval apart, to find out
// whether a write took effect. Together this exceeds the time that a client waits
// for a slow write.
const (
	resolveReads    = 10
	resolveInterval = 500 * time.Millisecond
)

// Config configures a Client.
type Config struct {
	Store kv.Store
	// Now is the clock for changes and moves; the default is time.Now.
	Now func() time.Time
	// Pause waits between two reads of the store; the default uses a timer.
	Pause func(ctx context.Context, d time.Duration) error
	// NewOperationID returns a new operation ID; the default is a random UUID.
	NewOperationID func() string
}

// Client reads and replaces the catalogue in the store.
type Client struct{ config Config }

// New returns a Client. It makes no network calls.
func New(config Config) *Client {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Pause == nil {
		config.Pause = pause
	}
	if config.NewOperationID == nil {
		config.NewOperationID = uuid.NewString
	}
	return &Client{config}
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Load returns the catalogue in the store. Before the first apply, that is an
// empty catalogue at revision 0.
func (c *Client) Load(ctx context.Context) (*catalogue.Snapshot, error) {
	v, err := c.config.Store.Get(ctx, CatalogueKey)
	if errors.Is(err, kv.ErrAbsent) {
		return catalogue.NewSnapshot(0, &catalogue.Catalogue{}), nil
	}
	if err != nil {
		return nil, storeError("read the catalogue", err)
	}
	got, err := catalogue.Decode(v.Data)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "the catalogue in the store at revision %d cannot be decoded", v.Revision)
	}
	return catalogue.NewSnapshot(v.Revision, got), nil
}

// Proposal is a validated change of the catalogue that is not written yet.
type Proposal struct {
	Base *catalogue.Snapshot
	Next *catalogue.Catalogue
	// Diff is empty if the file changes nothing.
	Diff []string

	data []byte
}

// Propose checks the file against the catalogue in the store and returns the
// change. Errors are *ConflictError, catalogue.Problems, ErrStore and ErrInvalid.
func (c *Client) Propose(ctx context.Context, f *catalogue.File, author, comment string) (*Proposal, error) {
	base, err := c.Load(ctx)
	if err != nil {
		return nil, err
	}
	if base.Revision != f.BasedOn {
		return nil, newConflictError(f.BasedOn, base)
	}
	vetoed, err := c.readVetoes(ctx, base, f.Catalogue)
	if err != nil {
		return nil, err
	}
	now := c.config.Now()
	if err := f.CheckChange(base.Catalogue, now, vetoed); err != nil {
		return nil, err
	}
	change := catalogue.Change{Operation: c.config.NewOperationID(), Author: author, Comment: comment, Changed: now}
	next, data, err := catalogue.Successor(base.Catalogue, base.Revision, f.Catalogue, change, vetoed)
	if err != nil {
		return nil, err
	}
	return &Proposal{Base: base, Next: next, Diff: catalogue.Diff(base.Catalogue, next), data: data}, nil
}

// readVetoes reads the vetoes of the moves that next ends or alters from the
// store, and returns a function that looks them up by the ID of a move.
func (c *Client) readVetoes(ctx context.Context, base *catalogue.Snapshot, next *catalogue.Catalogue) (catalogue.Vetoed, error) {
	proposed := catalogue.NewSnapshot(0, next)
	vetoes := make(map[string]bool)
	for _, m := range base.Catalogue.Moves {
		e, ok := proposed.Entry(m.Entry)
		if ok && e.Version == m.To && (e.MoveBy.IsZero() || e.MoveBy.Equal(m.Deadline)) {
			continue
		}
		_, err := c.config.Store.Get(ctx, VetoPrefix+m.ID)
		if err != nil && !errors.Is(err, kv.ErrAbsent) {
			return nil, storeError("read the veto of move "+m.ID, err)
		}
		vetoes[m.ID] = err == nil
	}
	return func(move string) bool { return vetoes[move] }, nil
}

// Apply writes the proposal with one compare-and-swap and returns the revision
// of the write, or a later revision that contains the change if the response to
// the write was lost. Errors are *ConflictError, ErrStore and ErrOutcomeUnknown.
func (c *Client) Apply(ctx context.Context, p *Proposal) (revision int64, err error) {
	revision, err = c.config.Store.Put(ctx, CatalogueKey, p.data, p.Base.Revision)
	switch {
	case err == nil:
		return revision, nil
	case errors.Is(err, kv.ErrUnknown), errors.Is(err, kv.ErrConflict):
		return c.resolveWrite(ctx, p)
	default:
		return 0, storeError("write the catalogue", err)
	}
}

// resolveWrite determines whether a write took effect by looking for its
// operation ID in the catalogue. It does not repeat the write, which could undo
// another operator's change that is based on this write.
func (c *Client) resolveWrite(ctx context.Context, p *Proposal) (int64, error) {
	var last error
	for range resolveReads {
		s, err := c.Load(ctx)
		switch {
		case err != nil:
			last = err
		case containsOperation(s.Catalogue, p.Next.Operation):
			return s.Revision, nil
		case s.Revision != p.Base.Revision:
			return 0, newConflictError(p.Base.Revision, s)
		default:
			last = nil
		}
		if err := c.config.Pause(ctx, resolveInterval); err != nil {
			last = err
			break
		}
	}
	const message = "the outcome of the write is unknown: operation %s was not found in the catalogue but may still take effect; " +
		"run \"wasabiworks catalogue history\" to check before applying again"
	if last != nil {
		return 0, ErrOutcomeUnknown.Wrap(last, message, p.Next.Operation)
	}
	return 0, ErrOutcomeUnknown.New(message, p.Next.Operation)
}

// containsOperation reports whether the operation is the latest change of the
// catalogue or in its history.
func containsOperation(c *catalogue.Catalogue, operation string) bool {
	if c.Operation == operation {
		return true
	}
	for _, h := range c.History {
		if h.Operation == operation {
			return true
		}
	}
	return false
}
