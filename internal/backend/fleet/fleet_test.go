package fleet

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"wasabiworks.example/wasabiworks/internal/decide/route"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newFleet(c Config) (*Fleet, *clock) {
	clk := &clock{time.Unix(1000, 0)}
	c.Now = clk.Now
	f := New(c)
	f.SetInstances(instances("a", "b"))
	return f, clk
}

func instances(ids ...string) (l []ListedServer) {
	for _, id := range ids {
		l = append(l, ListedServer{ID: id, Address: "address-" + id, Entry: "e", Polled: true})
	}
	return l
}

func ids(bs []route.Backend) (s string) {
	for _, b := range bs {
		s += b.ID
	}
	return s
}

// Guards against new work for a leaving server, whichever source reports it
// first, and while the instance list lags.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(*Fleet, *clock){
		"notice":    func(f *Fleet, c *clock) { f.RecordReclaimNotice("a", c.now.Add(time.Minute)) },
		"rejection": func(f *Fleet, _ *clock) { f.RecordFailure("a", ReasonLeaving) },
		"peer":      func(f *Fleet, c *clock) { f.RecordPeerMark("a", c.now.Add(time.Hour)) },
		"report":    func(f *Fleet, c *clock) { f.Report(Report{Backend: "a", Incarnation: "1", At: c.now, Leaving: true}) },
		"list":      func(f *Fleet, _ *clock) { l := instances("a", "b"); l[0].Leaving = true; f.SetInstances(l) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, clk := newFleet(Config{})
			f.Report(Report{Backend: "a", Incarnation: "1", At: clk.now})
			leaving := f.AttemptStarted("a")
			is.Equal(ids(f.View("e")), "ab")
			leave(f, clk)
			is.Equal(ids(f.View("e")), "b")
			select {
			case <-leaving:
			default:
				t.Error("the attempt on the leaving server was not notified")
			}
			clk.now = clk.now.Add(10 * time.Second)
			f.SetInstances(instances("a", "b")) // the list lags
			f.Report(Report{Backend: "a", Incarnation: "1", At: clk.now})
			is.Equal(ids(f.View("e")), "b")
		})
	}
}

// Guards against a server that stays excluded after its process was replaced,
// and against a cleared mark that a peer restores.
func TestNewIncarnationJoins(t *testing.T) {
	is := is.New(t)
	f, clk := newFleet(Config{})
	f.Report(Report{Backend: "a", Incarnation: "1", At: clk.now})
	f.AttemptStarted("a")
	f.RecordLeaving("a")
	until := f.Marks()[0].Expires
	f.Report(Report{Backend: "a", Incarnation: "2", At: clk.now})
	is.Equal(ids(f.View("e")), "ab")
	f.RecordPeerMark("a", until)
	is.Equal(ids(f.View("e")), "ab")
	select {
	case <-f.AttemptStarted("a"):
		t.Error("the channel of the new process is closed")
	default:
	}
	f.AttemptEnded("a")
	f.AttemptEnded("a") // a request of the old process
	is.Equal(f.View("e")[0].Running, 0)

	f.RecordReclaimNotice("b", clk.now.Add(time.Minute))
	is.Equal(f.Deadline("b"), clk.now.Add(time.Minute))
	f.SetInstances(instances("a"))
	f.SetInstances(instances("a", "b")) // a new machine under the same ID
	is.Equal(ids(f.View("e")), "ab")
}

// Guards against own requests that are missing from the load or counted twice.
func TestOwnRequestsAreCountedOnce(t *testing.T) {
	is := is.New(t)
	f, clk := newFleet(Config{})
	f.Report(Report{Backend: "a", Incarnation: "1", Running: 5, Capacity: 8, At: clk.now})
	f.AttemptStarted("a")
	f.AttemptStarted("a")
	is.Equal(f.View("e")[0].Running, 7)
	f.Report(Report{Backend: "a", Incarnation: "1", Running: 6, Capacity: 8, At: clk.now}) // includes both
	is.Equal(f.View("e")[0].Running, 6)
	f.AttemptEnded("a")
	is.Equal(f.View("e")[0].Running, 5)
	f.Report(Report{Backend: "a", Incarnation: "1", Running: 50, At: clk.now.Add(-time.Second)}) // arrives late
	is.Equal(f.View("e")[0].Running, 5)
}

// Guards against requests that keep going to a failing server, and against a
// view without servers because all have failed.
func TestFailingServerIsAvoided(t *testing.T) {
	is := is.New(t)
	f, clk := newFleet(Config{})
	f.RecordFailure("a", "failed")
	is.Equal(ids(f.View("e")), "b")
	f.RecordFailure("b", "failed")
	is.Equal(ids(f.View("e")), "ab")
	clk.now = clk.now.Add(1500 * time.Millisecond)
	f.RecordFailure("b", "failed")
	is.Equal(ids(f.View("e")), "a")
	clk.now = clk.now.Add(1500 * time.Millisecond) // the second backoff is twice as long
	f.Poll(context.Background())
	is.Equal(ids(f.View("e")), "a")
	f.Report(Report{Backend: "b", Incarnation: "1", At: clk.now})
	f.Poll(context.Background())
	is.Equal(ids(f.View("e")), "ab")

	f.RecordFailure("a", ReasonOverloaded)
	is.Equal(f.View("e")[0].Queued, 1)
	clk.now = clk.now.Add(2 * time.Second)
	f.Poll(context.Background())
	is.Equal(f.View("e")[0].Queued, 0)
	f.Report(Report{Backend: "a", Incarnation: "1", Versions: []string{"v1", "v2"}, At: clk.now})
	f.RecordVersionRejection("a", "v2")
	is.Equal(f.View("e")[0].Versions, []string{"v1"})
	f.RecordVersionRejection("a", "v1")
	is.True(!f.View("e")[0].Serves("v1"))
}

type pollFunc func(ctx context.Context, address string) (Report, error)

func (p pollFunc) Load(ctx context.Context, address string) (Report, error) { return p(ctx, address) }

// Guards against polls of other instances' shares, polls that hang, and goroutines
// that outlive Run.
func TestRunPollsOwnShareUntilCanceled(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	polled := make(map[string]int)
	reported := make(chan Report, 100)
	ctx, cancel := context.WithCancel(context.Background())
	f, _ := newFleet(Config{
		Interval: time.Millisecond, PollTimeout: 10 * time.Millisecond, ShouldPoll: func(id string) bool { return id != "b" },
		OnReport: func(r Report) {
			select {
			case reported <- r:
			default:
			}
		},
		Poller: pollFunc(func(ctx context.Context, address string) (Report, error) {
			mu.Lock()
			polled[address]++
			mu.Unlock()
			if address == "address-c" {
				<-ctx.Done() // hangs
				return Report{}, errors.New("hung")
			}
			return Report{Incarnation: "1", Capacity: 4}, nil
		}),
	})
	f.SetInstances(instances("a", "b", "c"))
	done := make(chan error)
	go func() { done <- f.Run(ctx) }()
	for range 3 {
		is.Equal((<-reported).Backend, "a")
	}
	cancel()
	is.Equal(<-done, context.Canceled)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(polled["address-b"], 0)
	is.Equal(ids(f.View("e")), "ab") // c missed two consecutive polls
}

// BenchmarkView measures View after another request has begun, for entries of
// typical, large and target size.
func BenchmarkView(b *testing.B) {
	for _, size := range []int{20, 200, 2000} {
		b.Run(strconv.Itoa(size), func(b *testing.B) { benchmarkView(b, size) })
	}
}

func benchmarkView(b *testing.B, size int) {
	f, _ := newFleet(Config{})
	var l []ListedServer
	for i := range size {
		l = append(l, ListedServer{ID: strconv.Itoa(i), Address: "a", Entry: "e", Polled: true})
	}
	f.SetInstances(l)
	b.ReportAllocs()
	for b.Loop() {
		f.AttemptStarted("7")
		if len(f.View("e")) != len(l) {
			b.Fatal("servers are missing")
		}
		f.AttemptEnded("7")
	}
}
