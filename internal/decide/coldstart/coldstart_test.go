package coldstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var (
	epoch = time.Unix(1000, 0)
	limit = Limit{Rate: 7.7, ColdTime: 3 * time.Second}
)

// maxPerSecond is the number of requests that a cold server may get in one second.
const maxPerSecond = 7.7*1.5 + 5

// modelInstance is an instance with its view of the others.
type modelInstance struct {
	Instance
	rosters     *Rosters
	confirmed   time.Time
	cutOffUntil time.Time // no news of the list before then
	running     bool
	owners      map[string]Owners // of rosters, by server ID
	lastSend    map[string]time.Time
}

// model is a fleet that sends as many requests to cold servers as it may.
type model struct {
	random    *rand.Rand
	now       time.Time
	instances []*modelInstance
	listed    map[string]bool
	servers   []Server
	sent      map[string][]time.Time
	// believesDead reports whether an instance takes another one for dead.
	believesDead func(m *model, by *modelInstance, id string) bool
}

func newModel(seed uint64, instances, domains, servers int) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), now: epoch, listed: make(map[string]bool), sent: make(map[string][]time.Time)}
	m.believesDead = func(m *model, _ *modelInstance, id string) bool { return !m.find(id).running }
	for n := range instances {
		i := &modelInstance{Instance: Instance{ID: fmt.Sprint("edge-", n), FailureDomain: fmt.Sprint("zone-", n%domains)}, running: true, lastSend: make(map[string]time.Time)}
		m.instances = append(m.instances, i)
		m.listed[i.ID] = true
	}
	for n := range servers {
		m.servers = append(m.servers, Server{fmt.Sprint("server-", n), fmt.Sprint("zone-", n%domains)})
	}
	return m
}

func (m *model) find(id string) *modelInstance {
	return m.instances[slices.IndexFunc(m.instances, func(i *modelInstance) bool { return i.ID == id })]
}

// list returns the list of instances in the store.
func (m *model) list() (is []Instance) {
	for _, i := range m.instances {
		if m.listed[i.ID] {
			is = append(is, i.Instance)
		}
	}
	return is
}

// learn lets an instance learn the list as it is now.
func (m *model) learn(i *modelInstance) {
	next := i.rosters.Replace(m.list(), m.now)
	i.confirmed = m.now
	if next == i.rosters {
		return
	}
	i.rosters, i.owners = next, make(map[string]Owners)
	for _, s := range m.servers {
		if o := next.Owners(s); o.First == i.ID || o.Second == i.ID {
			i.owners[s.ID] = o
		}
	}
}

// step lets each instance send what it may.
func (m *model) step(d time.Duration) {
	for _, i := range m.instances {
		if !i.running {
			continue
		}
		for _, s := range m.servers { // in order, so that a seed gives the same run
			id := s.ID
			owners, ok := i.owners[id]
			if !ok {
				continue
			}
			q := Query{Limit: limit, Self: i.ID, Owners: owners, Confirmed: i.confirmed, SecondMaySend: m.believesDead(m, i, owners.First), LastSend: i.lastSend[id]}
			if q.MaySend(m.now) {
				i.lastSend[id] = m.now
				m.sent[id] = append(m.sent[id], m.now.Add(time.Duration(m.random.IntN(60))*time.Millisecond))
			}
		}
	}
	m.now = m.now.Add(d)
}

// mostPerSecond returns the largest number of arrivals in one second.
func mostPerSecond(arrivals []time.Time) (most int) {
	slices.SortFunc(arrivals, time.Time.Compare)
	first := 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against a cold server that gets more requests than it can handle, while the
// instances disagree about which of them are registered and live: some learn of changes
// late or not at all, take others for dead, are killed, replaced or frozen.
func TestColdServersAreNotOverloaded(t *testing.T) {
	for _, size := range []struct{ instances, domains, servers, seeds int }{{68, 4, 8, 4}, {360, 7, 4, 1}} {
		total, most := 0, 0
		for seed := range uint64(size.seeds) {
			m := newModel(seed, size.instances, size.domains, size.servers)
			suspicion := m.random.Float64()
			m.believesDead = func(m *model, by *modelInstance, id string) bool {
				return m.random.Float64() < suspicion
			}
			for tick := range 1500 { // 30 s
				if tick%100 == 0 {
					m.disturb()
				}
				for _, i := range m.instances {
					if i.running && !m.now.Before(i.cutOffUntil) && m.random.IntN(50) == 0 {
						m.learn(i)
					}
				}
				m.step(20 * time.Millisecond)
			}
			for id, arrivals := range m.sent {
				total += len(arrivals)
				n := mostPerSecond(arrivals)
				most = max(most, n)
				if float64(n) > maxPerSecond {
					t.Errorf("%d instances, seed %d: server %s got %d requests in a second, want at most %v", size.instances, seed, id, n, maxPerSecond)
				}
			}
		}
		if total == 0 {
			t.Errorf("%d instances: cold servers got no request", size.instances)
		}
		t.Logf("%d instances: %d requests, at most %d in a second", size.instances, total, most)
	}
}

// disturb changes the fleet at random, and often the owners of a server.
func (m *model) disturb() {
	for range len(m.servers) {
		owners := ownersAmong(m.list(), m.servers[m.random.IntN(len(m.servers))])
		for _, id := range []string{owners.First, owners.Second} {
			if id != "" && m.random.IntN(2) == 0 {
				// Its entry lapses while it runs and does not learn of it.
				m.listed[id] = false
				m.cutOff(m.find(id))
			}
		}
	}
	for range 1 + m.random.IntN(len(m.instances)/4) {
		i := m.instances[m.random.IntN(len(m.instances))]
		switch m.random.IntN(8) {
		case 0: // killed, or started anew
			i.running = !i.running
			i.rosters, i.owners = nil, nil
		case 1: // frozen, or thawed with what it knew
			i.running = !i.running
		case 2, 3:
			m.cutOff(i)
		default: // its entry is written again
			m.listed[i.ID] = true
		}
	}
}

// cutOff keeps news of the list from an instance for some seconds.
func (m *model) cutOff(i *modelInstance) {
	i.cutOffUntil = m.now.Add(time.Duration(m.random.IntN(8000)) * time.Millisecond)
}

// Guards against cold servers that get no requests: a failure domain that returns cold is
// used at the rate of an owner, also while the
// instances of the domain are dead.
func TestColdServersGetRequests(t *testing.T) {
	tests := []struct {
		name string
		dead func(*modelInstance) bool
	}{
		{"all live", func(*modelInstance) bool { return false }},
		{"the instances of a domain dead", func(i *modelInstance) bool { return i.FailureDomain == "zone-1" }},
	}
	for _, tt := range tests {
		for _, size := range []struct{ instances, domains int }{{68, 4}, {360, 7}, {9, 3}, {2, 1}, {1, 1}} {
			m := newModel(1, size.instances, size.domains, 14)
			for _, i := range m.instances {
				i.running = !tt.dead(i)
			}
			for tick := range 500 {
				for _, i := range m.instances {
					if tick%200 == 0 {
						m.learn(i)
					}
				}
				m.step(10 * time.Millisecond)
			}
			for _, s := range m.servers {
				got := 0
				for _, at := range m.sent[s.ID] {
					if at.Sub(epoch) >= MaxRosterAge+100*time.Millisecond && at.Sub(epoch) < MaxRosterAge+1100*time.Millisecond {
						got++
					}
				}
				if want := 5; got < want {
					t.Errorf("%s, %d instances: server %s got %d requests in a second, want at least %d", tt.name, size.instances, s.ID, got, want)
				}
			}
		}
	}
}

// Guards against a starting instance that uses a cold server before it knows the others,
// and against one whose list is old.
func TestInstanceWithoutConfirmedListSendsNothing(t *testing.T) {
	rosters := (*Rosters)(nil).Replace([]Instance{{ID: "a", FailureDomain: "z"}}, epoch)
	owners := rosters.Owners(Server{"s", "z"})
	tests := []struct {
		name      string
		owners    Owners
		confirmed time.Time
		now       time.Time
		want      bool
	}{
		{"no list", (*Rosters)(nil).Owners(Server{"s", "z"}), epoch, epoch.Add(time.Hour), false},
		{"list just read", owners, epoch, epoch, false},
		{"list known for a while", owners, epoch.Add(MaxRosterAge), epoch.Add(MaxRosterAge), true},
		{"list not confirmed", owners, epoch, epoch.Add(MaxRosterAge + 1), false},
	}
	for _, tt := range tests {
		q := Query{Limit: limit, Self: "a", Owners: tt.owners, Confirmed: tt.confirmed}
		if got := q.MaySend(tt.now); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
	after := rosters.Replace([]Instance{{ID: "a", FailureDomain: "z"}, {ID: "b", FailureDomain: "z"}, {ID: "c", FailureDomain: "y"}}, epoch.Add(time.Hour))
	if from := after.Owners(Server{"s", "z"}).From; from.Before(epoch.Add(time.Hour + MaxRosterAge)) {
		t.Errorf("changed owners: got them in effect from %v, want %v after the change", from, MaxRosterAge)
	}
	if again := after.Replace([]Instance{{ID: "c", FailureDomain: "y"}, {ID: "b", FailureDomain: "z"}, {ID: "a", FailureDomain: "z"}}, epoch.Add(2*time.Hour)); again != after {
		t.Error("the same list in another order counts as a change")
	}
}

// Guards against a server that gets its full share directly after its cold time, or never.
func TestRampIsEven(t *testing.T) {
	for after, want := range map[time.Duration]float64{-time.Second: 0.5, 0: 0.5, 750 * time.Millisecond: 0.625, 1500 * time.Millisecond: 0.75, 3 * time.Second: 1, time.Hour: 1} {
		if got := limit.Ramp(epoch, epoch.Add(after)); got != want {
			t.Errorf("%v after the cold time: got share %v, want %v", after, got, want)
		}
	}
	if got := limit.Ramp(time.Time{}, epoch); got != 1 {
		t.Errorf("never cold: got share %v, want 1", got)
	}
	if got := (Limit{}).Ramp(epoch, epoch); got != 1 {
		t.Errorf("no limit: got share %v, want 1", got)
	}
	if got := (Limit{Rate: 1}).Ramp(epoch, epoch); got != 1 {
		t.Errorf("no ramp: got share %v, want 1", got)
	}
}
