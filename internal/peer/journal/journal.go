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
	errorNamespace = errorx.NewNamespace("journal")
	// NotRun is the type of the errors that Reserve returns: no reservation was
	// confirmed, and the attempt must not run the call.
	NotRun = errorNamespace.NewType("not-run")
	// Unconfirmed is the type of the errors that Complete returns: whether the
	// completion was recorded is unknown. The type's name, "lost", is part of
	// error messages and stays as it is.
	Unconfirmed = errorNamespace.NewType("lost")
	// Corrupt is the type of the errors for data that cannot be encoded or
	// decoded.
	Corrupt = errorNamespace.NewType("corrupt")
)

// Peers calls the journals of other instances. The id parameters are instance
// IDs.
type Peers interface {
	Reserve(ctx context.Context, id string, r *peerpb.ReserveRequest) (*peerpb.ReserveReply, error)
	Complete(ctx context.Context, id string, r *peerpb.CompleteRequest) (*peerpb.CompleteReply, error)
}

// Config configures a Journal. Self, Incarnation and Store are required.
type Config struct {
	// Self is the instance's ID.
	Self string
	// Incarnation is the instance's start time in nanoseconds since the Unix
	// epoch. It must never repeat, because Self and Incarnation together
	// identify the writer of a shard value.
	Incarnation int64
	Store       kv.Store
	// Peers may be nil, in which case the instance writes every shard itself.
	Peers Peers
	// Live returns the IDs of the live instances that may own a shard, Self
	// included.
	Live func() []string
	// Shards is the number of shards. It must be the same on all instances and
	// must not change while the store's data is in use. Default 64.
	Shards uint32
	// WriteInterval is the minimum time between the starts of two batches of a
	// shard. Default 10 ms.
	WriteInterval time.Duration
	// CompletionDelay is how long a completion or a removal waits to share a
	// batch with a reservation. A delay saves up to half of the writes but
	// lengthens Complete by up to the delay, so it suits callers that answer the
	// client before they call Complete. Default 0: written without delay.
	CompletionDelay time.Duration
	// StoreTimeout limits each store call. Default 1 s.
	StoreTimeout time.Duration
	// PeerTimeout limits a call to the shard's owner. When it expires, the
	// instance writes the shard itself. Default 500 ms.
	PeerTimeout time.Duration
	// RetryInterval is the time between two attempts to reach a store that is
	// down, and between two retries of background operations. Default 500 ms.
	RetryInterval time.Duration
	// Now and After are the clock. Defaults time.Now and time.After.
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
	if c.WriteInterval == 0 {
		c.WriteInterval = 10 * time.Millisecond
	}
	if c.StoreTimeout == 0 {
		c.StoreTimeout = time.Second
	}
	if c.PeerTimeout == 0 {
		c.PeerTimeout = 500 * time.Millisecond
	}
	if c.RetryInterval == 0 {
		c.RetryInterval = 500 * time.Millisecond
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

// Journal is one instance's part of the at-most-once journal. Its methods are
// safe for concurrent use.
type Journal struct {
	config   Config
	writerID string
	metrics  *metrics
	// storeFailures is the number of consecutive failed store calls.
	// storeRetryAt is when a store that is down is called again, in nanoseconds
	// since the Unix epoch.
	storeFailures atomic.Int32
	storeRetryAt  atomic.Int64

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu           sync.Mutex
	writers      map[uint32]*writer
	ownerRetryAt map[string]time.Time // by owner's instance ID: when it may be called again after a failed call
}

// New returns a journal. The caller must call Close to stop its writers.
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
		config:       c,
		writerID:     fmt.Sprintf("%s/%d", c.Self, c.Incarnation),
		metrics:      m,
		writers:      make(map[uint32]*writer),
		ownerRetryAt: make(map[string]time.Time),
	}
	j.ctx, j.stop = context.WithCancel(context.Background())
	return j, nil
}

// Close stops the writers and waits for them to return. Calls in progress fail
// with a NotRun or Unconfirmed error.
func (j *Journal) Close() {
	j.mu.Lock()
	j.stop()
	j.mu.Unlock()
	j.wg.Wait()
}

// Reserve records that attempt is about to run the call with key k. Attempt IDs
// must be unique and have at most journal.MaxAttemptBytes bytes. The caller may
// run the call only if the status is journal.Reserved, and must then call Complete.
// If Reserve returns an error, its type is NotRun and the result's status is
// journal.Unavailable or journal.Full.
func (j *Journal) Reserve(ctx context.Context, k journal.Key, attempt string, fingerprint uint64) (journal.Result, error) {
	op := journal.Op{Kind: journal.Reserve, Key: k, Attempt: attempt, Fingerprint: fingerprint}
	shard := journal.ShardOf(k, j.config.Shards)
	r, err := j.reserve(ctx, shard, op)
	j.metrics.countReservation(r.Status)
	if err != nil {
		return journal.Result{Status: r.Status}, NotRun.Wrap(err, "reserve in journal shard %d", shard)
	}
	return r, nil
}

func (j *Journal) reserve(ctx context.Context, shard uint32, op journal.Op) (r journal.Result, err error) {
	if owner, ok := j.remoteOwner(shard); ok {
		r, err = j.reserveRemotely(ctx, owner, shard, op)
		if journal.NextAction(journal.AtOwner, err == nil, r.Status) == journal.UseResult {
			return r, nil
		}
	}
	r, err = j.performLocally(ctx, shard, op)
	switch journal.NextAction(journal.AtSelf, err == nil, r.Status) {
	case journal.UseResult:
		return r, nil
	case journal.Reject:
		return r, errShardFull
	}
	if err == nil {
		return r, errInvalidAttempt // nothing is recorded for an invalid attempt ID
	}
	// The reservation may have been recorded. Without its removal, Reserve would
	// return journal.Pending for the key until the entry expires.
	op.Kind = journal.Remove
	j.writerFor(shard).enqueueBackground(op)
	return r, err
}

// Complete records the response to a call that attempt reserved, and returns
// once the record is durable. A response over journal.MaxResponseBytes is not
// kept:
// Reserve then returns journal.DoneWithoutResponse for a repeated call. If notRun
// is true, the backend server proved that it did not run the call, and Complete
// removes the reservation instead.
//
// The result recorded is false if attempt does not hold the reservation any
// more, for example because the entry has expired, and the call is not recorded
// as done either. With notRun, it is false if the call is recorded as done.
//
// Errors have the type Unconfirmed. The operation is then retried in the
// background. The key may stay reserved, so that Reserve returns journal.Pending
// for it, until a background retry succeeds or the entry expires.
func (j *Journal) Complete(ctx context.Context, k journal.Key, attempt string, notRun bool, response *journal.Response) (recorded bool, err error) {
	op := journal.Op{Kind: journal.Complete, Key: k, Attempt: attempt, Response: response}
	if notRun {
		op.Kind, op.Response = journal.Remove, nil
	}
	if response != nil && len(response.Body)+len(response.ContentType) > journal.MaxResponseBytes {
		op.Response = nil
	}
	shard := journal.ShardOf(k, j.config.Shards)
	if owner, ok := j.remoteOwner(shard); ok {
		reply, err := j.completeRemotely(ctx, owner, shard, op)
		if err == nil && reply.Recorded {
			return true, nil
		}
	}
	r, err := j.performLocally(ctx, shard, op)
	if err != nil {
		// Complete returns the error; the operation is retried in the background.
		j.writerFor(shard).enqueueBackground(op)
		return false, Unconfirmed.Wrap(err, "complete in journal shard %d", shard)
	}
	return r.Recorded, nil
}

// ServeReserve handles a Reserve request from a peer. It never removes a
// reservation on its own, because the peer may have timed out and reserved with
// the same attempt elsewhere.
func (j *Journal) ServeReserve(ctx context.Context, r *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	k, err := decodeKey(r.Key)
	if err != nil {
		return nil, err
	}
	result, err := j.performLocally(ctx, journal.ShardOf(k, j.config.Shards), journal.Op{
		Kind: journal.Reserve, Key: k, Attempt: r.Attempt, Fingerprint: r.Fingerprint,
	})
	if err != nil {
		return &peerpb.ReserveReply{Status: peerpb.Status_STATUS_UNAVAILABLE}, nil
	}
	return &peerpb.ReserveReply{Status: protoStatuses[result.Status], Response: responseToProto(result.Response)}, nil
}

// ServeComplete handles a Complete request from a peer.
func (j *Journal) ServeComplete(ctx context.Context, r *peerpb.CompleteRequest) (*peerpb.CompleteReply, error) {
	k, err := decodeKey(r.Key)
	if err != nil {
		return nil, err
	}
	op := journal.Op{Kind: journal.Complete, Key: k, Attempt: r.Attempt, Response: responseFromProto(r.Response)}
	if r.NotRun {
		op.Kind, op.Response = journal.Remove, nil
	}
	result, err := j.performLocally(ctx, journal.ShardOf(k, j.config.Shards), op)
	if err != nil {
		return &peerpb.CompleteReply{}, nil
	}
	return &peerpb.CompleteReply{Recorded: result.Recorded}, nil
}

func (j *Journal) reserveRemotely(ctx context.Context, owner string, shard uint32, op journal.Op) (journal.Result, error) {
	callCtx, cancel := context.WithTimeout(ctx, j.config.PeerTimeout)
	defer cancel()
	reply, err := j.config.Peers.Reserve(callCtx, owner, &peerpb.ReserveRequest{
		Shard: shard, Key: op.Key[:], Attempt: op.Attempt, Fingerprint: op.Fingerprint,
	})
	j.recordOwnerCall(ctx, owner, err)
	if err != nil {
		return journal.Result{}, err
	}
	return journal.Result{Status: statusFromProto(reply.GetStatus()), Response: responseFromProto(reply.GetResponse())}, nil
}

func (j *Journal) completeRemotely(ctx context.Context, owner string, shard uint32, op journal.Op) (*peerpb.CompleteReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, j.config.CompletionDelay+j.config.PeerTimeout)
	defer cancel()
	reply, err := j.config.Peers.Complete(callCtx, owner, &peerpb.CompleteRequest{
		Shard: shard, Key: op.Key[:], Attempt: op.Attempt, NotRun: op.Kind == journal.Remove, Response: responseToProto(op.Response),
	})
	j.recordOwnerCall(ctx, owner, err)
	return reply, err
}

// owner returns the ID of the instance that batches the shard's writes.
func (j *Journal) owner(shard uint32) string {
	return membership.Owner(uint64(shard), j.config.Live())
}

// remoteOwner returns the shard's owner and reports whether to call it: the
// owner must be another instance, and the last call to it must not have failed
// within the past second.
func (j *Journal) remoteOwner(shard uint32) (string, bool) {
	owner := j.owner(shard)
	if owner == "" || owner == j.config.Self || j.config.Peers == nil {
		return "", false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return owner, !j.config.Now().Before(j.ownerRetryAt[owner])
}

// recordOwnerCall records the result of a call to owner. For a second after a
// failure, this instance does not call the owner but writes its shards itself,
// so that few operations wait for a call to time out. A failure is ignored if
// ctx, the caller's own context, has ended: it does not show that the owner is
// unreachable.
func (j *Journal) recordOwnerCall(ctx context.Context, owner string, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if err == nil {
		delete(j.ownerRetryAt, owner)
		return
	}
	j.metrics.ownerFailures.Inc()
	now := j.config.Now()
	for id, retryAt := range j.ownerRetryAt {
		if now.After(retryAt) {
			delete(j.ownerRetryAt, id)
		}
	}
	j.ownerRetryAt[owner] = now.Add(time.Second)
}

// performLocally performs op with this instance's writer for the shard and
// waits for the result.
func (j *Journal) performLocally(ctx context.Context, shard uint32, op journal.Op) (journal.Result, error) {
	p := &pendingOp{op: op, ctx: ctx, done: make(chan result, 1)}
	if err := j.writerFor(shard).enqueue(p); err != nil {
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

// writerFor returns the writer for the shard, and starts it on first use.
func (j *Journal) writerFor(shard uint32) *writer {
	j.mu.Lock()
	defer j.mu.Unlock()
	w, ok := j.writers[shard]
	if !ok {
		w = &writer{parent: j, shard: shard, writeNow: make(chan struct{}, 1), writeLater: make(chan struct{}, 1)}
		j.writers[shard] = w
		if j.ctx.Err() == nil {
			j.wg.Go(w.run)
		}
	}
	return w
}
