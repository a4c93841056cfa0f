package instance

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wasabiworks.example/wasabiworks/internal/caller/openai"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

const (
	// loadBalancerDelay is how long the platform's load balancer may continue to
	// send requests to an instance that reports not ready.
	loadBalancerDelay = 1500 * time.Millisecond
	// handoverTime is the part of the drain timeout, Config.DrainTimeout, that is
	// reserved for handing over unfinished streams.
	handoverTime = 2 * time.Second
	// crossDomainHandoverLimit is the number of live instances up to which a
	// stream is handed over to all instances, because the client may reconnect to
	// any instance. With more live instances, only those of the own failure
	// domain receive the stream.
	crossDomainHandoverLimit = 64
)

// drain completes the requests in progress. It serves the requests that the load
// balancer still sends during loadBalancerDelay, and hands over streams that would
// outlast the drain timeout to other instances.
func (i *Instance) drain(clientServer *http.Server) error {
	deadline := i.now().Add(i.config.DrainTimeout)
	i.draining.Store(true)
	i.config.Log.Info("planned shutdown started", zap.Int64("revision", i.propagator.Revision()))
	i.exchange.Leave()
	i.platform.register(context.Background())
	time.Sleep(min(loadBalancerDelay, i.config.DrainTimeout/2))

	drainCtx, cancel := context.WithDeadline(context.Background(), deadline.Add(-handoverTime))
	defer cancel()
	if clientServer.Shutdown(drainCtx) == nil {
		return i.finishShutdown()
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := i.openai.Handover(ctx, i.sendHandover); err != nil {
		i.config.Log.Error("handover of unfinished streams failed", zap.Error(err))
	}
	if err := clientServer.Shutdown(ctx); err != nil {
		return fmt.Errorf("requests still in progress when the drain timeout expired: %w", err)
	}
	return i.finishShutdown()
}

// sendHandover sends a stream to all other live instances, or only to those of
// this failure domain if more than crossDomainHandoverLimit instances are live.
// It succeeds if at least one instance accepts the stream.
func (i *Instance) sendHandover(ctx context.Context, h *openai.HandedOverStream) error {
	ids := i.members.Live("", i.now())
	if len(ids) > crossDomainHandoverLimit {
		ids = i.members.Live(i.config.FailureDomain, i.now())
	}
	request := &peerpb.HandoverRequest{
		Stream: h.StreamID, Workspace: h.Workspace, Entry: h.Entry, Version: h.Version,
		Request: h.Request, Tokens: h.Tokens, Prefix: h.Conversation, Deadline: h.Deadline.UnixNano(),
	}
	accepted := make([]bool, len(ids))
	var g errgroup.Group
	for n, id := range ids {
		if id == i.config.ID {
			continue
		}
		g.Go(func() error {
			reply, err := i.exchange.Handover(ctx, id, request)
			accepted[n] = err == nil && reply.GetAccepted()
			return err
		})
	}
	err := g.Wait()
	for _, ok := range accepted {
		if ok {
			return nil
		}
	}
	return handoverError(h.StreamID, err)
}

// handoverError returns the error for a stream that no instance accepted. err is the
// first error of the calls, or nil if all instances replied or there are none.
func handoverError(stream string, err error) error {
	if err == nil {
		return fmt.Errorf("no instance accepted stream %s", stream)
	}
	return fmt.Errorf("no instance accepted stream %s: %w", stream, err)
}

// serveHandover answers a handover request from an instance that is shutting
// down.
func (i *Instance) serveHandover(_ context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return &peerpb.HandoverReply{Accepted: i.openai.Adopt(&openai.HandedOverStream{
		StreamID: r.GetStream(), Workspace: r.GetWorkspace(), Entry: r.GetEntry(), Version: r.GetVersion(),
		Request: r.GetRequest(), Tokens: r.GetTokens(), Conversation: r.GetPrefix(), Deadline: time.Unix(0, r.GetDeadline()),
	})}, nil
}

// finishShutdown closes the request path for language entries and removes the
// instance from the instance list. A failed removal does not fail the shutdown,
// because the platform removes the instance by itself later.
func (i *Instance) finishShutdown() error {
	i.openai.Close()
	ctx, cancel := context.WithTimeout(context.Background(), platformCallTimeout)
	defer cancel()
	if err := i.platform.listClient.Remove(ctx, i.config.ID); err != nil {
		i.config.Log.Warn("instance could not be removed from the instance list", zap.Error(err))
	}
	i.config.Log.Info("planned shutdown completed")
	return nil
}
