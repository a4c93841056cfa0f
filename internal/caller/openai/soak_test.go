package openai

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/engine"
	"wasabiworks.example/wasabiworks/internal/backend/fleet"
	"wasabiworks.example/wasabiworks/internal/bench/answer"
	benchengine "wasabiworks.example/wasabiworks/internal/bench/engine"
	benchfault "wasabiworks.example/wasabiworks/internal/bench/fault"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/decide/retry"
	"wasabiworks.example/wasabiworks/internal/decide/route"
)

var seed = flag.Uint64("seed", 1, "seed of the randomised tests")

// poisonAndBudget implements PoisonTracker and Budget with the packages poison and
// retry, as an instance does, except that AssignedServers does not separate
// suspects.
type poisonAndBudget struct {
	set     poison.Set
	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

func (d *poisonAndBudget) AssignedServers(_ uint64, servers []string) []string { return servers }

func (d *poisonAndBudget) Verdict(fp uint64) Verdict { return Verdict(d.set.Verdict(fp, time.Now())) }
func (d *poisonAndBudget) Completed(fp uint64)       { d.set.Completed(fp) }
func (d *poisonAndBudget) Crash(serverID, incarnation string, fps []uint64) {
	d.set.Crash(serverID, incarnation, fps, time.Now().Add(time.Hour))
}

func (d *poisonAndBudget) budget(serverID string) *retry.Budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.budgets[serverID] == nil {
		d.budgets[serverID] = &retry.Budget{}
		for range 100 {
			d.budgets[serverID].Deposit()
		}
	}
	return d.budgets[serverID]
}

func (d *poisonAndBudget) Deposit(serverID string)       { d.budget(serverID).Deposit() }
func (d *poisonAndBudget) Withdraw(serverID string) bool { return d.budget(serverID).Withdraw() }

// Guards against incomplete responses and responses to other requests when
// engines fail at random. It uses the poison, retry and routing packages of
// an instance and the engines of package bench/engine. At most one engine has a
// fault at any time. There is only one crash, because a second one may fail a
// request that the first one made suspect.
func TestRandomFaults(t *testing.T) {
	t.Logf("seed %d", *seed)
	random := rand.New(rand.NewPCG(*seed, 1))
	var engines []*benchengine.Server
	var list []fleet.ListedServer
	for i := range 4 {
		e := benchengine.New(benchengine.Config{BetweenTokens: time.Millisecond, LoadLag: 50 * time.Millisecond, Slots: 8, Exit: func() {}})
		s := httptest.NewServer(e)
		t.Cleanup(s.Close)
		engines = append(engines, e)
		list = append(list, fleet.ListedServer{ID: fmt.Sprint("b", i), Address: strings.TrimPrefix(s.URL, "http://"), Entry: "sack-assist", Polled: true})
	}
	client := engine.New(engine.Config{FirstFrameTimeout: 2 * time.Second, StallTimeout: 150 * time.Millisecond})
	servers := fleet.New(fleet.Config{Poller: fleet.EnginePoller{Client: client}, Interval: 50 * time.Millisecond, Backoff: 100 * time.Millisecond})
	servers.SetInstances(list)
	d := &poisonAndBudget{budgets: make(map[string]*retry.Budget)}
	s := newTestServer(t, 0, func(c *Config) {
		c.Fleet, c.Engine, c.Router, c.Budget, c.Poison = servers, client, route.Affinity{}, d, d
		c.MigrationMargin, c.ServerWait = 100*time.Millisecond, 5*time.Second
	})
	ctx, cancel := context.WithCancel(context.Background())
	var background, clients sync.WaitGroup
	background.Go(func() { servers.Run(ctx) })
	background.Go(func() { injectFaults(ctx, random, engines, servers) })
	for i := range 16 {
		clients.Go(func() {
			for k := range 4 {
				prompt := fmt.Sprintf("request %d of client %d", k, i)
				res, b := s.post(t, "/v1/chat/completions", chatBody(prompt, (i+k)%2 == 0))
				got, _, done := readResponse(t, b)
				want := answer.Expected(answer.ChatPrompt([]answer.Message{{Role: "user", Content: prompt}})).Text(0)
				if got != want || !done {
					t.Errorf("seed %d, %s: got status %d and %d bytes, want the %d bytes of its response; end %.200q", *seed, prompt, res.StatusCode, len(got), len(want), b[max(0, len(b)-200):])
				}
			}
		})
	}
	clients.Wait()
	cancel()
	background.Wait()
	client.Close()
}

// injectFaults injects one fault after another into randomly chosen engines. It
// also makes the last engine leave once.
func injectFaults(ctx context.Context, random *rand.Rand, engines []*benchengine.Server, servers *fleet.Fleet) {
	kinds := []benchfault.Fault{
		{Kind: "stall"}, {Kind: "duplicate-frames"}, {Kind: "late-frames"}, {Kind: "foreign-frames"}, {Kind: "fail"}, {Kind: "slow", Value: "3"}, {Kind: "crash-on", Value: "user"},
	}
	random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	wait := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	for i, k := range kinds {
		e := engines[random.IntN(3)]
		if err := e.Inject(k); err != nil {
			panic(err)
		}
		if !wait(200 * time.Millisecond) {
			return
		}
		e.Clear()
		if i == 3 {
			servers.RecordReclaimNotice("b3", time.Now().Add(400*time.Millisecond))
			engines[3].Leave()
		}
		if !wait(100 * time.Millisecond) {
			return
		}
	}
}
