package exchange_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/exchange"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// instance is one entry instance with a set of vetoes that spreads.
type instance struct {
	self    membership.Member
	members *membership.Table
	vetoes  *exchange.Set[string, *peerpb.Veto]
	node    *exchange.Node
	ticks   chan time.Time
	stop    func()
}

func startInstance(t *testing.T, id, domain string, incarnation int64, clock *atomic.Int64) *instance {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	i := &instance{
		self:  membership.Member{ID: id, Incarnation: incarnation, FailureDomain: domain, PeerAddress: l.Addr().String()},
		ticks: make(chan time.Time),
	}
	i.members = membership.NewTable(i.self)
	i.vetoes = exchange.NewSet(exchange.SetConfig[string, *peerpb.Veto]{
		Key:    func(v *peerpb.Veto) string { return v.Move },
		Add:    func(d *peerpb.Digest, v *peerpb.Veto) { d.Vetoes = append(d.Vetoes, v) },
		Take:   (*peerpb.Digest).GetVetoes,
		Urgent: true,
	})
	i.node, err = exchange.New(exchange.Config{
		Members: i.members,
		Sources: []exchange.Source{i.vetoes},
		Sinks:   []exchange.Sink{i.vetoes},
		Now:     func() time.Time { return time.Unix(0, clock.Load()) },
		Ticks:   i.ticks,
	})
	is.NoErr(err)
	s := grpc.NewServer(exchange.ServerOptions()...)
	i.node.Register(s)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	go func() { _ = s.Serve(l); done <- struct{}{} }()
	go func() { _ = i.node.Run(ctx); done <- struct{}{} }()
	stopped := false
	i.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		s.Stop()
		<-done
		<-done
	}
	t.Cleanup(i.stop)
	return i
}

// advance moves the clock in steps and ticks all instances until ok.
func advance(t *testing.T, clock *atomic.Int64, is []*instance, what string, ok func() bool) time.Duration {
	t.Helper()
	start := clock.Load()
	// The calls take real time, which the fake clock does not measure; the
	// bound is far above what 300 rounds need.
	for range 300 {
		clock.Add(int64(100 * time.Millisecond))
		for _, i := range is {
			select {
			case i.ticks <- time.Time{}:
			case <-time.After(5 * time.Second):
				t.Fatalf("%s: instance %s does not take ticks", what, i.self.ID)
			}
		}
		for range 20 {
			if ok() {
				return time.Duration(clock.Load() - start)
			}
			time.Sleep(time.Millisecond)
		}
	}
	t.Fatalf("%s: not reached within 30 s of the fake clock", what)
	return 0
}

// Guards against a veto that stays within its failure domain, or that a
// restarted instance is not told again.
func TestVetoReachesAllDomainsAndRestartedInstances(t *testing.T) {
	is := is.New(t)
	var clock atomic.Int64
	clock.Store(time.Unix(1_000_000, 0).UnixNano())
	var all []*instance
	for d := range 3 {
		for n := range 2 {
			all = append(all, startInstance(t, fmt.Sprintf("entry-%d-%d", d, n), fmt.Sprintf("domain-%d", d), 1, &clock))
		}
	}
	list := func() (ms []membership.Member) {
		for _, i := range all {
			ms = append(ms, i.self)
		}
		return ms
	}
	for _, i := range all {
		i.members.List(list(), time.Unix(0, clock.Load()))
	}
	all[0].vetoes.Put(&peerpb.Veto{Move: "m1", Reason: "failures"})
	everywhere := func(move string) func() bool {
		return func() bool {
			for _, i := range all {
				if _, ok := i.vetoes.Get(move); !ok {
					return false
				}
			}
			return true
		}
	}
	t.Logf("first veto everywhere after %v", advance(t, &clock, all, "first veto", everywhere("m1")))

	last := all[len(all)-1]
	last.stop()
	all[len(all)-1] = startInstance(t, last.self.ID, last.self.FailureDomain, 2, &clock)
	all[len(all)-1].members.List(list(), time.Unix(0, clock.Load()))
	for _, i := range all[:len(all)-1] {
		i.members.List(list(), time.Unix(0, clock.Load()))
	}
	t.Logf("restarted instance has the veto after %v", advance(t, &clock, all, "restart", everywhere("m1")))
	is.Equal(len(all[0].members.Members()), len(all))
}
