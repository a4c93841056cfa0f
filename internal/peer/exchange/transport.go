package exchange

import (
	"context"
	"errors"

	"github.com/go-kit/kit/endpoint"
	kitgrpc "github.com/go-kit/kit/transport/grpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// Method implements one remote procedure of the Peer service.
type Method[Request, Reply any] func(ctx context.Context, r Request) (Reply, error)

// Services are the procedures implemented by other packages. Calls to a nil
// method return codes.Unimplemented.
type Services struct {
	Pull     Method[*peerpb.PullRequest, *peerpb.Snapshot]
	Reserve  Method[*peerpb.ReserveRequest, *peerpb.ReserveReply]
	Complete Method[*peerpb.CompleteRequest, *peerpb.CompleteReply]
	Handover Method[*peerpb.HandoverRequest, *peerpb.HandoverReply]
	Usage    Method[*peerpb.UsageRequest, *peerpb.UsageReply]
	Watch    Method[*peerpb.WatchRequest, *peerpb.WatchReply]
	List     Method[*peerpb.ListRequest, *peerpb.ListReply]
	Spend    Method[*peerpb.SpendRequest, *peerpb.SpendReply]
	Claim    Method[*peerpb.ClaimRequest, *peerpb.ClaimReply]
	Progress Method[*peerpb.ProgressRequest, *peerpb.ProgressReply]
	// Send serves a request that another instance sends to a backend server.
	Send func(stream peerpb.Peer_SendServer) error
}

// server adapts go-kit handlers to the generated service interface.
type server struct {
	peerpb.UnimplementedPeerServer
	exchange, pull, reserve, complete, handover, usage, watch, list, spend, claim, progress kitgrpc.Handler

	send func(stream peerpb.Peer_SendServer) error
}

func newServer(exchange Method[*peerpb.Digest, *peerpb.Digest], s Services, m *metrics) *server {
	return &server{
		exchange: newHandler("Exchange", exchange, m),
		pull:     newHandler("Pull", s.Pull, m),
		reserve:  newHandler("Reserve", s.Reserve, m),
		complete: newHandler("Complete", s.Complete, m),
		handover: newHandler("Handover", s.Handover, m),
		usage:    newHandler("Usage", s.Usage, m),
		watch:    newHandler("Watch", s.Watch, m),
		list:     newHandler("List", s.List, m),
		spend:    newHandler("Spend", s.Spend, m),
		claim:    newHandler("Claim", s.Claim, m),
		progress: newHandler("Progress", s.Progress, m),
		send:     s.Send,
	}
}

func (s *server) Send(stream peerpb.Peer_SendServer) error {
	if s.send == nil {
		return status.Error(codes.Unimplemented, "Send is not served")
	}
	return s.send(stream)
}

func (s *server) Exchange(ctx context.Context, r *peerpb.Digest) (*peerpb.Digest, error) {
	return callHandler[*peerpb.Digest](ctx, s.exchange, r)
}

func (s *server) Pull(ctx context.Context, r *peerpb.PullRequest) (*peerpb.Snapshot, error) {
	return callHandler[*peerpb.Snapshot](ctx, s.pull, r)
}

func (s *server) Reserve(ctx context.Context, r *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	return callHandler[*peerpb.ReserveReply](ctx, s.reserve, r)
}

func (s *server) Complete(ctx context.Context, r *peerpb.CompleteRequest) (*peerpb.CompleteReply, error) {
	return callHandler[*peerpb.CompleteReply](ctx, s.complete, r)
}

func (s *server) Handover(ctx context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return callHandler[*peerpb.HandoverReply](ctx, s.handover, r)
}

func (s *server) Usage(ctx context.Context, r *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
	return callHandler[*peerpb.UsageReply](ctx, s.usage, r)
}

func (s *server) Watch(ctx context.Context, r *peerpb.WatchRequest) (*peerpb.WatchReply, error) {
	return callHandler[*peerpb.WatchReply](ctx, s.watch, r)
}

func (s *server) List(ctx context.Context, r *peerpb.ListRequest) (*peerpb.ListReply, error) {
	return callHandler[*peerpb.ListReply](ctx, s.list, r)
}

func (s *server) Spend(ctx context.Context, r *peerpb.SpendRequest) (*peerpb.SpendReply, error) {
	return callHandler[*peerpb.SpendReply](ctx, s.spend, r)
}

func (s *server) Claim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return callHandler[*peerpb.ClaimReply](ctx, s.claim, r)
}

func (s *server) Progress(ctx context.Context, r *peerpb.ProgressRequest) (*peerpb.ProgressReply, error) {
	return callHandler[*peerpb.ProgressReply](ctx, s.progress, r)
}

// newHandler wraps a method in a go-kit endpoint and server.
func newHandler[Request, Reply proto.Message](name string, method Method[Request, Reply], m *metrics) kitgrpc.Handler {
	e := func(ctx context.Context, r any) (any, error) {
		request, ok := r.(Request)
		if !ok || method == nil {
			return nil, status.Error(codes.Unimplemented, name+" is not served")
		}
		return method(ctx, request)
	}
	return kitgrpc.NewServer(instrument(name, "in", m)(recoverPanics(name)(e)), passThrough, passThrough)
}

func callHandler[Reply proto.Message](ctx context.Context, h kitgrpc.Handler, r proto.Message) (Reply, error) {
	var zero Reply
	_, reply, err := h.ServeGRPC(ctx, r)
	if err != nil {
		return zero, toStatus(err)
	}
	typed, ok := reply.(Reply)
	if !ok {
		return zero, status.Error(codes.Internal, "handler returned another type")
	}
	return typed, nil
}

// toStatus converts an error of a method to a gRPC status.
func toStatus(err error) error {
	if _, ok := status.FromError(err); ok {
		return err
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return status.Error(codes.DeadlineExceeded, err.Error())
	}
	return status.Error(codes.Unavailable, err.Error())
}

// clients are the go-kit endpoints of one connection.
type clients struct {
	exchange, pull, reserve, complete, handover, usage, watch, list, spend, claim, progress endpoint.Endpoint
}

func newClients(c *grpc.ClientConn, m *metrics) clients {
	return clients{
		exchange: newClient(c, "Exchange", peerpb.Digest{}, m),
		pull:     newClient(c, "Pull", peerpb.Snapshot{}, m),
		reserve:  newClient(c, "Reserve", peerpb.ReserveReply{}, m),
		complete: newClient(c, "Complete", peerpb.CompleteReply{}, m),
		handover: newClient(c, "Handover", peerpb.HandoverReply{}, m),
		usage:    newClient(c, "Usage", peerpb.UsageReply{}, m),
		watch:    newClient(c, "Watch", peerpb.WatchReply{}, m),
		list:     newClient(c, "List", peerpb.ListReply{}, m),
		spend:    newClient(c, "Spend", peerpb.SpendReply{}, m),
		claim:    newClient(c, "Claim", peerpb.ClaimReply{}, m),
		progress: newClient(c, "Progress", peerpb.ProgressReply{}, m),
	}
}

func newClient(c *grpc.ClientConn, method string, reply any, m *metrics) endpoint.Endpoint {
	e := kitgrpc.NewClient(c, peerpb.Peer_ServiceDesc.ServiceName, method, passThrough, passThrough, reply).Endpoint()
	return instrument(method, "out", m)(e)
}

func invoke[Reply any](ctx context.Context, e endpoint.Endpoint, r any) (Reply, error) {
	var zero Reply
	reply, err := e(ctx, r)
	if err != nil {
		return zero, err
	}
	typed, ok := reply.(Reply)
	if !ok {
		return zero, CallFailed.New("peer returned an unexpected reply type")
	}
	return typed, nil
}

// passThrough encodes and decodes messages that need no conversion.
func passThrough(_ context.Context, m any) (any, error) { return m, nil }

// recoverPanics converts a panic of a method into an error, so that no message
// from a peer can end the process.
func recoverPanics(name string) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, r any) (reply any, err error) {
			defer func() {
				if p := recover(); p != nil {
					reply, err = nil, status.Errorf(codes.Internal, "%s failed: %v", name, p)
				}
			}()
			return next(ctx, r)
		}
	}
}

// instrument counts messages, bytes and failed calls; direction is "in" for calls
// served and "out" for calls made.
func instrument(method, direction string, m *metrics) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, r any) (any, error) {
			m.count(method, direction, "request", r)
			reply, err := next(ctx, r)
			if err != nil {
				m.failures.WithLabelValues(method, direction).Inc()
				return nil, err
			}
			m.count(method, direction, "reply", reply)
			return reply, nil
		}
	}
}
