package load

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

// retryPause is the time until a caller repeats a failed request.
const retryPause = 100 * time.Millisecond

// ErrInvalid means that a configuration is invalid.
var ErrInvalid = errors.New("invalid load configuration")

// runner is a run in progress.
type runner struct {
	config   Config
	client   *client
	recorder *recorder
	services serviceCalls
	rejected rejections
	// slots holds one element per concurrent request.
	slots chan struct{}
	calls sync.WaitGroup
}

// Run sends the requests of a mix until the bounds are reached or ctx ends,
// waits for the responses and returns the report. Errors are ErrInvalid and
// that no entry instance is ready.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	config = config.withDefaults(time.Now())
	b := newBalancer(config)
	// Responses are awaited after ctx has ended, so the balancer goes on.
	watching, stop := context.WithCancel(context.WithoutCancel(ctx))
	var g errgroup.Group
	g.Go(func() error { b.watch(watching); return nil })
	defer func() {
		stop()
		_ = g.Wait()
	}()
	if err := b.await(ctx); err != nil {
		return nil, err
	}
	r := &runner{config: config, client: newClient(b), slots: make(chan struct{}, config.Outstanding)}
	// A fake whose log cannot be read here counts from 0.
	r.rejected.before, _, _ = r.promptRuns(ctx)
	m := newMeter(b.list)
	m.begin(ctx)
	g.Go(func() error { m.watch(watching); return nil })
	r.recorder = newRecorder(config, time.Now())
	r.drive(ctx)
	ended := time.Now()
	m.read(watching)
	r.recorder.metered(m.sum())
	r.checkRuns(watching)
	return r.recorder.finish(ended), nil
}

// drive sends the requests and injects the faults, and returns when the last
// response has arrived.
func (r *runner) drive(ctx context.Context) {
	start := time.Now()
	injecting, stop := context.WithCancel(ctx)
	var injected sync.WaitGroup
	injected.Go(func() { r.injectAll(injecting, start) })
	r.arrivals(ctx, start)
	r.calls.Wait()
	stop()
	injected.Wait()
}

// arrivals starts each request at its time, whether or not earlier ones have
// been answered.
func (r *runner) arrivals(ctx context.Context, start time.Time) {
	g := newGenerator(r.config)
	for {
		q := g.next()
		if q.At > r.config.Duration || (r.config.Count > 0 && q.Index >= r.config.Count) {
			return
		}
		planned := start.Add(q.At)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(planned)):
		}
		r.recorder.lag(time.Since(planned))
		r.start(ctx, q, planned, false)
		if q.Resend > 0 {
			r.calls.Go(func() {
				time.Sleep(q.Resend)
				r.start(ctx, q, planned.Add(q.Resend), true)
			})
		}
	}
}

// start makes a call in the background, unless too many are running.
func (r *runner) start(ctx context.Context, q Request, planned time.Time, resent bool) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.recorder.result(q, planned, planned, result{outcome: Unsent}, resent)
		return
	}
	r.calls.Go(func() {
		defer func() { <-r.slots }()
		out := r.call(ctx, q, planned, resent)
		for n := 0; n < q.Class.Retries && out.outcome != Answered && ctx.Err() == nil; n++ {
			time.Sleep(retryPause)
			out = r.call(ctx, q, time.Now(), true)
		}
	})
}

// call makes and records one call. A run that is stopped still waits for its
// responses.
func (r *runner) call(ctx context.Context, q Request, planned time.Time, resent bool) result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.config.Timeout)
	defer cancel()
	out := r.client.call(ctx, q)
	ended := time.Now()
	if q.Class.Kind == Service {
		r.services.add(serviceCall{q, planned, ended, out, resent})
	} else {
		r.recorder.result(q, planned, ended, out, resent)
		if out.outcome == NotRun {
			r.rejected.add(q)
		}
	}
	return out
}

// checkRuns judges and records the calls of plain services, and judges the
// requests to engines that were rejected.
func (r *runner) checkRuns(ctx context.Context) {
	runs, services, completeRuns := r.serviceRuns(ctx)
	if services > 0 {
		r.services.judge(runs, completeRuns)
	}
	r.recorder.unanswered(r.services.unanswered())
	for _, c := range r.services.list {
		r.recorder.result(c.request, c.planned, c.ended, c.out, c.resent)
	}
	prompts, engines, completePrompts := r.promptRuns(ctx)
	for _, q := range r.rejected.ran(prompts) {
		r.recorder.rejectedAndRan(q)
	}
	r.recorder.report.RunCheck = runCheck(services+engines, completeRuns && completePrompts)
}

// serviceRuns returns the runs by idempotency key, the number of fakes that are
// asked, and whether all of them could be read.
func (r *runner) serviceRuns(ctx context.Context) (runs map[string]int, fakes int, complete bool) {
	if logs := r.config.ServiceRunLogs; len(logs) > 0 {
		runs, complete = readRunLogs(logs)
		return runs, len(logs), complete
	}
	services := r.client.balancer.backends(r.config.Services, instances.KindService)
	runs, complete = fetchRuns(ctx, services)
	return runs, len(services), complete
}

// promptRuns is like serviceRuns for the prompts that engines ran.
func (r *runner) promptRuns(ctx context.Context) (runs promptRuns, fakes int, complete bool) {
	if logs := r.config.EngineRunLogs; len(logs) > 0 {
		runs, complete = readPromptLogs(logs)
		return runs, len(logs), complete
	}
	engines := r.client.balancer.backends(r.config.Engines, instances.KindLanguage)
	runs, complete = fetchPrompts(ctx, engines)
	return runs, len(engines), complete
}

func runCheck(fakes int, complete bool) string {
	switch {
	case fakes == 0:
		return "none"
	case complete:
		return "complete"
	}
	return "partial"
}
