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
	// balancerDelay is how long an instance that reports not ready still gets
	// requests from the platform's load balancer.
	balancerDelay = 1500 * time.Millisecond
	// handoverTime is the part of the drain notice that is kept for handing
	// over the streams that outlast it.
	handoverTime = 2 * time.Second
	// maxAdopters bounds the instances that a stream is handed to. Its client
	// may come back through any of them.
	maxAdopters = 64
)

// drain completes the requests in progress. Requests that the load balancer
// still sends in the first moments are served; streams that outlast the drain
// notice are handed over to the other instances.
func (i *Instance) drain(clients *http.Server) error {
	deadline := i.now().Add(i.config.DrainNotice)
	i.draining.Store(true)
	i.config.Log.Info("planned shutdown started", zap.Int64("revision", i.propagator.Revision()))
	i.exchange.Leave()
	i.platform.register(context.Background())
	time.Sleep(min(balancerDelay, i.config.DrainNotice/2))

	wait, cancel := context.WithDeadline(context.Background(), deadline.Add(-handoverTime))
	defer cancel()
	if clients.Shutdown(wait) == nil {
		return i.leave()
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := i.openai.Handover(ctx, i.handOver); err != nil {
		i.config.Log.Error("stream could not be handed over", zap.Error(err))
	}
	if err := clients.Shutdown(ctx); err != nil {
		return fmt.Errorf("requests in progress at the end of the drain notice: %w", err)
	}
	return i.leave()
}

// handOver passes a stream to the other instances: to all of a small
// deployment, else to those of the failure domain.
func (i *Instance) handOver(ctx context.Context, h *openai.Handover) error {
	ids := i.members.Live("", i.now())
	if len(ids) > maxAdopters {
		ids = i.members.Live(i.config.FailureDomain, i.now())
	}
	request := &peerpb.HandoverRequest{
		Stream: h.Stream, Workspace: h.Workspace, Entry: h.Entry, Version: h.Version,
		Request: h.Request, Tokens: h.Tokens, Prefix: h.Prefix, Deadline: h.Deadline.UnixNano(),
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
	for _, yes := range accepted {
		if yes {
			return nil
		}
	}
	return fmt.Errorf("no instance accepted stream %s: %w", h.Stream, err)
}

// adopt takes over a stream of an instance that shuts down.
func (i *Instance) adopt(_ context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return &peerpb.HandoverReply{Accepted: i.openai.Adopt(&openai.Handover{
		Stream: r.GetStream(), Workspace: r.GetWorkspace(), Entry: r.GetEntry(), Version: r.GetVersion(),
		Request: r.GetRequest(), Tokens: r.GetTokens(), Prefix: r.GetPrefix(), Deadline: time.Unix(0, r.GetDeadline()),
	})}, nil
}

// leave takes the instance off the instance list. A failure is no fault of the
// shutdown: the platform removes the instance later by itself.
func (i *Instance) leave() error {
	i.openai.Close()
	ctx, cancel := context.WithTimeout(context.Background(), storeCall)
	defer cancel()
	if err := i.platform.list.Remove(ctx, i.config.ID); err != nil {
		i.config.Log.Warn("instance could not be removed from the instance list", zap.Error(err))
	}
	i.config.Log.Info("planned shutdown completed")
	return nil
}
