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

// retryInterval is the time between a failed request and its retry by the
// caller.
const retryInterval = 100 * time.Millisecond

// ErrInvalidConfig is returned by Run for an invalid configuration.
var ErrInvalidConfig = errors.New("invalid load configuration")

// runner holds the state of a run in progress.
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

// Run sends the requests of a mix until a limit is reached or ctx ends, waits
// for the responses and returns the report. It returns ErrInvalidConfig if the
// configuration is invalid, and another error if no entry instance becomes
// ready.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidConfig, err)
	}
	config = config.withDefaults(time.Now())
	b := newBalancer(config)
	// The balancer outlives ctx, because Run waits for responses after ctx has
	// ended.
	watchCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var g errgroup.Group
	g.Go(func() error { b.watch(watchCtx); return nil })
	defer func() {
		stop()
		_ = g.Wait()
	}()
	if err := b.waitReady(ctx); err != nil {
		return nil, err
	}
	r := &runner{config: config, client: newClient(b), slots: make(chan struct{}, config.Outstanding)}
	// If the run log of a fake cannot be read here, its baseline is 0, and its
	// earlier executions count as executions during this run.
	r.rejected.baseline, _, _ = r.engineRuns(ctx)
	m := newMeter(b.instanceClient)
	m.readBaseline(ctx)
	g.Go(func() error { m.watch(watchCtx); return nil })
	r.recorder = newRecorder(config, time.Now())
	r.sendAll(ctx)
	ended := time.Now()
	m.read(watchCtx)
	r.recorder.setCostAndTotals(m.totals())
	r.checkRuns(watchCtx)
	return r.recorder.finish(ended), nil
}

// sendAll sends the requests, injects the faults and returns after the last
// response.
func (r *runner) sendAll(ctx context.Context) {
	start := time.Now()
	injectCtx, stop := context.WithCancel(ctx)
	var injector sync.WaitGroup
	injector.Go(func() { r.injectAll(injectCtx, start) })
	r.startArrivals(ctx, start)
	r.calls.Wait()
	stop()
	injector.Wait()
}

// startArrivals starts each request at its arrival time without waiting for
// the responses to earlier requests (an open-loop load).
func (r *runner) startArrivals(ctx context.Context, start time.Time) {
	g := newGenerator(r.config)
	for {
		req := g.next()
		if req.Arrival > r.config.Duration || (r.config.Count > 0 && req.Index >= r.config.Count) {
			return
		}
		planned := start.Add(req.Arrival)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(planned)):
		}
		r.recorder.recordStartLag(time.Since(planned))
		r.startCall(ctx, req, planned, false)
		if req.ResendDelay > 0 {
			r.calls.Go(func() {
				time.Sleep(req.ResendDelay)
				r.startCall(ctx, req, planned.Add(req.ResendDelay), true)
			})
		}
	}
}

// startCall makes a call and its retries in the background. If the limit of
// concurrent requests is reached, it records the request as OutcomeUnsent.
func (r *runner) startCall(ctx context.Context, req Request, planned time.Time, resent bool) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.recorder.recordCall(req, planned, planned, result{outcome: OutcomeUnsent}, resent)
		return
	}
	r.calls.Go(func() {
		defer func() { <-r.slots }()
		res := r.call(ctx, req, planned, resent)
		for n := 0; n < req.Class.Retries && res.outcome != OutcomeAnswered && ctx.Err() == nil; n++ {
			time.Sleep(retryInterval)
			res = r.call(ctx, req, time.Now(), true)
		}
	})
}

// call makes one call and records its result. It waits for the response even if
// ctx has ended.
func (r *runner) call(ctx context.Context, req Request, planned time.Time, resent bool) result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.config.Timeout)
	defer cancel()
	res := r.client.call(ctx, req)
	ended := time.Now()
	if req.Class.Kind == KindService {
		r.services.add(serviceCall{req, planned, ended, res, resent})
	} else {
		r.recorder.recordCall(req, planned, ended, res, resent)
		if res.outcome == OutcomeNotRun {
			r.rejected.add(req)
		}
	}
	return res
}

// checkRuns compares the outcomes with the runs that the fakes counted. It
// records the calls to plain services and corrects the outcomes of rejected
// requests that an engine ran.
func (r *runner) checkRuns(ctx context.Context) {
	runs, services, completeRuns := r.serviceRuns(ctx)
	if services > 0 {
		r.services.compareRuns(runs, completeRuns)
	}
	r.recorder.setUnansweredKeys(r.services.unanswered())
	for _, c := range r.services.calls {
		r.recorder.recordCall(c.request, c.planned, c.ended, c.result, c.resent)
	}
	prompts, engines, completePrompts := r.engineRuns(ctx)
	for _, req := range r.rejected.ran(prompts) {
		r.recorder.correctRejection(req)
	}
	r.recorder.report.RunCheck = runCheckState(services+engines, completeRuns && completePrompts)
}

// serviceRuns returns the number of runs by idempotency key, the number of
// service fakes (or of their run logs), and whether all of them could be read.
func (r *runner) serviceRuns(ctx context.Context) (runs map[string]int, fakes int, complete bool) {
	if logs := r.config.ServiceRunLogs; len(logs) > 0 {
		runs, complete = readRunLogs(logs)
		return runs, len(logs), complete
	}
	services := r.client.balancer.backends(r.config.Services, instances.KindService)
	runs, complete = fetchServiceRuns(ctx, services)
	return runs, len(services), complete
}

// engineRuns returns the number of runs by engine address (or run log) and
// prompt hash, the number of engine fakes (or of their run logs), and whether all
// of them could be read.
func (r *runner) engineRuns(ctx context.Context) (runs promptRuns, fakes int, complete bool) {
	if logs := r.config.EngineRunLogs; len(logs) > 0 {
		runs, complete = readPromptLogs(logs)
		return runs, len(logs), complete
	}
	engines := r.client.balancer.backends(r.config.Engines, instances.KindLanguage)
	runs, complete = fetchPromptRuns(ctx, engines)
	return runs, len(engines), complete
}

// runCheckState returns the value of Report.RunCheck.
func runCheckState(fakes int, complete bool) string {
	switch {
	case fakes == 0:
		return "none"
	case complete:
		return "complete"
	}
	return "partial"
}
