package journal

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/journal"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
)

var (
	errs = errorx.NewNamespace("journal")
	// NotRun is the type of the errors of Reserve: nothing allows this attempt
	// to run the call.
	NotRun = errs.NewType("not-run")
	// Lost is the type of the errors of Complete: it is not known whether the
	// completion is recorded.
	Lost = errs.NewType("lost")
	// Corrupt is the type of the errors for data that does not decode.
	Corrupt = errs.NewType("corrupt")
)

// Peers calls the journal of another instance.
type Peers interface {
	Reserve(ctx context.Context, id string, r *peerpb.ReserveRequest) (*peerpb.ReserveReply, error)
	Complete(ctx context.Context, id string, r *peerpb.CompleteRequest) (*peerpb.CompleteReply, error)
}

// Config configures a Journal. Self, Incarnation and Store are required.
type Config struct {
	// Self is the instance's ID.
	Self string
	// Incarnation is the instance's start time in nanoseconds since the Unix
	// epoch. With Self it identifies the writer of a value, so that it must
	// never repeat.
	Incarnation int64
	Store       kv.Store
	// Peers may be nil; then the instance writes every shard itself.
	Peers Peers
	// Live returns the IDs of the members that may own a shard, Self included.
	Live func() []string
	// Shards is the number of shards, the same on all instances and constant
	// over the life of the store. Default 64.
	Shards uint32
	// Gap is the minimal time between the starts of two writes of a shard.
	// Default 10 ms.
	Gap time.Duration
	// CompleteGap is how long a completion or a removal waits for a reservation
	// to be written with. It saves up to half of the writes, but Complete takes
	// that much longer, so that it suits callers that answer the client first.
	// Default 0: it is written at once.
	CompleteGap time.Duration
	// StoreTimeout limits each call of the store. Default 1 s.
	StoreTimeout time.Duration
	// PeerTimeout limits a call to the owner, after which the instance writes
	// itself. Default 500 ms.
	PeerTimeout time.Duration
	// RetryAfter is the time between two trials of a store that is down.
	// Default 500 ms.
	RetryAfter time.Duration
	// Now and After are the clock; defaults time.Now and time.After.
	Now        func() time.Time
	After      func(time.Duration) <-chan time.Time
	Registerer prometheus.Registerer
	Logger     *zap.Logger
}

func (c Config) withDefaults() Config {
	if c.Live == nil {
		c.Live = func() []string { return []string{c.Self} }
	}
	if c.Shards == 0 {
		c.Shards = 64
	}
	if c.Gap == 0 {
		c.Gap = 10 * time.Millisecond
	}
	if c.StoreTimeout == 0 {
		c.StoreTimeout = time.Second
	}
	if c.PeerTimeout == 0 {
		c.PeerTimeout = 500 * time.Millisecond
	}
	if c.RetryAfter == 0 {
		c.RetryAfter = 500 * time.Millisecond
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.After == nil {
		c.After = time.After
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return c
}

// Journal is the instance's part of the at-most-once journal. Its methods are
// safe for concurrent use.
type Journal struct {
	config  Config
	writer  string
	metrics *metrics
	// failures counts the failed store calls in a row, and down is when the
	// store is tried again, in nanoseconds since the Unix epoch.
	failures atomic.Int32
	down     atomic.Int64

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu      sync.Mutex
	writers map[uint32]*writer
	avoid   map[string]time.Time // owners that could not be reached, until when
}

// New returns a journal; Close stops it.
func New(c Config) (*Journal, error) {
	if c.Self == "" || c.Incarnation == 0 || c.Store == nil {
		return nil, errorx.IllegalArgument.New("journal: Self, Incarnation and Store are required")
	}
	c = c.withDefaults()
	m, err := newMetrics(c.Registerer)
	if err != nil {
		return nil, err
	}
	j := &Journal{
		config:  c,
		writer:  fmt.Sprintf("%s/%d", c.Self, c.Incarnation),
		metrics: m,
		writers: make(map[uint32]*writer),
		avoid:   make(map[string]time.Time),
	}
	j.ctx, j.stop = context.WithCancel(context.Background())
	return j, nil
}

// Close stops the writers and waits for them. Calls in progress fail with
// NotRun or Lost.
func (j *Journal) Close() {
	j.mu.Lock()
	j.stop()
	j.mu.Unlock()
	j.wg.Wait()
}

// Reserve records that attempt is about to run the call of key. Attempts need
// unique IDs of at most journal.MaxAttempt bytes. Only the status
// journal.Reserved allows the caller to run the call, and it must call Complete
// afterwards. An error has the type NotRun; the status is then
// journal.Unavailable or journal.Full.
func (j *Journal) Reserve(ctx context.Context, k journal.Key, attempt string, fingerprint uint64) (journal.Result, error) {
	op := journal.Op{Kind: journal.Reserve, Key: k, Attempt: attempt, Fingerprint: fingerprint}
	shard := journal.ShardOf(k, j.config.Shards)
	r, err := j.reserve(ctx, shard, op)
	j.metrics.reserved(r.Status)
	if err != nil {
		return journal.Result{Status: r.Status}, NotRun.Wrap(err, "reserve in journal shard %d", shard)
	}
	return r, nil
}

func (j *Journal) reserve(ctx context.Context, shard uint32, op journal.Op) (r journal.Result, err error) {
	if owner, ok := j.remoteOwner(shard); ok {
		r, err = j.reserveAt(ctx, owner, shard, op)
		if journal.Next(journal.AtOwner, err == nil, r.Status) == journal.Use {
			return r, nil
		}
	}
	r, err = j.local(ctx, shard, op)
	switch journal.Next(journal.AtSelf, err == nil, r.Status) {
	case journal.Use:
		return r, nil
	case journal.Reject:
		return r, errFull
	}
	if err == nil {
		return r, errAttempt // Reserve records nothing for an invalid attempt
	}
	// Without the removal, the key of an ambiguous reservation would be
	// answered as pending until it expires.
	op.Kind = journal.Remove
	j.writerOf(shard).later(op)
	return r, err
}

// Complete records the response to a call that attempt reserved. If notRun is
// true, the backend server proved that it did not run the call, and the
// reservation is removed. It returns when that is durable. An error has the
// type Lost; the key then stays reserved, and a repeated call is answered as
// pending.
func (j *Journal) Complete(ctx context.Context, k journal.Key, attempt string, notRun bool, response *journal.Response) (recorded bool, err error) {
	op := journal.Op{Kind: journal.Complete, Key: k, Attempt: attempt, Response: response}
	if notRun {
		op.Kind, op.Response = journal.Remove, nil
	}
	if response != nil && len(response.Body)+len(response.ContentType) > journal.MaxResponse {
		op.Response = nil
	}
	shard := journal.ShardOf(k, j.config.Shards)
	if owner, ok := j.remoteOwner(shard); ok {
		reply, err := j.completeAt(ctx, owner, shard, op)
		if err == nil && reply.Recorded {
			return true, nil
		}
	}
	r, err := j.local(ctx, shard, op)
	if err != nil {
		// The caller has its answer; the record is retried in the background.
		j.writerOf(shard).later(op)
		return false, Lost.Wrap(err, "complete in journal shard %d", shard)
	}
	return r.Recorded, nil
}

// ServeReserve answers a peer. It never removes a reservation on its own: the
// peer may have given up waiting and reserved with the same attempt elsewhere.
func (j *Journal) ServeReserve(ctx context.Context, r *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	k, err := keyOf(r.Key)
	if err != nil {
		return nil, err
	}
	result, err := j.local(ctx, journal.ShardOf(k, j.config.Shards), journal.Op{
		Kind: journal.Reserve, Key: k, Attempt: r.Attempt, Fingerprint: r.Fingerprint,
	})
	if err != nil {
		return &peerpb.ReserveReply{Status: peerpb.Status_STATUS_UNAVAILABLE}, nil
	}
	return &peerpb.ReserveReply{Status: wireStatus[result.Status], Response: toWire(result.Response)}, nil
}

// ServeComplete answers a peer.
func (j *Journal) ServeComplete(ctx context.Context, r *peerpb.CompleteRequest) (*peerpb.CompleteReply, error) {
	k, err := keyOf(r.Key)
	if err != nil {
		return nil, err
	}
	op := journal.Op{Kind: journal.Complete, Key: k, Attempt: r.Attempt, Response: fromWire(r.Response)}
	if r.NotRun {
		op.Kind, op.Response = journal.Remove, nil
	}
	result, err := j.local(ctx, journal.ShardOf(k, j.config.Shards), op)
	if err != nil {
		return &peerpb.CompleteReply{}, nil
	}
	return &peerpb.CompleteReply{Recorded: result.Recorded}, nil
}

func (j *Journal) reserveAt(ctx context.Context, owner string, shard uint32, op journal.Op) (journal.Result, error) {
	limited, cancel := context.WithTimeout(ctx, j.config.PeerTimeout)
	defer cancel()
	reply, err := j.config.Peers.Reserve(limited, owner, &peerpb.ReserveRequest{
		Shard: shard, Key: op.Key[:], Attempt: op.Attempt, Fingerprint: op.Fingerprint,
	})
	j.reached(ctx, owner, err)
	if err != nil {
		return journal.Result{}, err
	}
	return journal.Result{Status: statusOf(reply.GetStatus()), Response: fromWire(reply.GetResponse())}, nil
}

func (j *Journal) completeAt(ctx context.Context, owner string, shard uint32, op journal.Op) (*peerpb.CompleteReply, error) {
	limited, cancel := context.WithTimeout(ctx, j.config.CompleteGap+j.config.PeerTimeout)
	defer cancel()
	reply, err := j.config.Peers.Complete(limited, owner, &peerpb.CompleteRequest{
		Shard: shard, Key: op.Key[:], Attempt: op.Attempt, NotRun: op.Kind == journal.Remove, Response: toWire(op.Response),
	})
	j.reached(ctx, owner, err)
	return reply, err
}

// owner returns the member that batches the shard's writes.
func (j *Journal) owner(shard uint32) string {
	return membership.Owner(uint64(shard), j.config.Live())
}

// remoteOwner returns the shard's owner if it is another instance and was not
// found unreachable lately.
func (j *Journal) remoteOwner(shard uint32) (string, bool) {
	owner := j.owner(shard)
	if owner == "" || owner == j.config.Self || j.config.Peers == nil {
		return "", false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return owner, !j.config.Now().Before(j.avoid[owner])
}

// reached notes whether a call to owner succeeded. An unreachable owner is
// avoided for a second, so that only a few calls wait for it. A call that ended
// because its own context did says nothing about the owner.
func (j *Journal) reached(ctx context.Context, owner string, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if err == nil {
		delete(j.avoid, owner)
		return
	}
	j.metrics.unreachable.Inc()
	now := j.config.Now()
	for id, until := range j.avoid {
		if now.After(until) {
			delete(j.avoid, id)
		}
	}
	j.avoid[owner] = now.Add(time.Second)
}

// local performs op through the instance's own writer of the shard.
func (j *Journal) local(ctx context.Context, shard uint32, op journal.Op) (journal.Result, error) {
	p := &pending{op: op, ctx: ctx, done: make(chan result, 1)}
	if err := j.writerOf(shard).add(p); err != nil {
		return journal.Result{}, err
	}
	select {
	case r := <-p.done:
		return r.Result, r.err
	case <-ctx.Done():
		return journal.Result{}, ctx.Err()
	case <-j.ctx.Done():
		return journal.Result{}, errClosed
	}
}

func (j *Journal) writerOf(shard uint32) *writer {
	j.mu.Lock()
	defer j.mu.Unlock()
	w, ok := j.writers[shard]
	if !ok {
		w = &writer{j: j, shard: shard, wake: make(chan struct{}, 1), nudge: make(chan struct{}, 1)}
		j.writers[shard] = w
		if j.ctx.Err() == nil {
			j.wg.Go(w.run)
		}
	}
	return w
}
