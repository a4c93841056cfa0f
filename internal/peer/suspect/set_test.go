package suspect

import (
	"fmt"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// node is a set with the reports that it applied.
type node struct {
	*Set
	applied  []Report
	notified int
	seen     map[*node]uint64
}

func newNode(now func() time.Time) *node {
	n := &node{seen: make(map[*node]uint64)}
	n.Set = New(Config{FailureDomain: "home", Now: now, Apply: func(r Report) { n.applied = append(n.applied, r) }, Notify: func() { n.notified++ }})
	return n
}

// tell sends what a has learned to b, and returns the number of reports.
func (a *node) tell(b *node) int {
	d := new(peerpb.Digest)
	a.seen[b] = a.Digest(membership.Member{}, a.seen[b], d)
	if b.Merge(membership.Member{FailureDomain: "home"}, d) {
		b.notified++
	}
	return len(d.GetSuspects())
}

// Guards against reports that do not travel, that travel in circles for ever,
// and that depend on clocks that agree.
func TestReportsTravelOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newNode(func() time.Time { return now })
	b := newNode(func() time.Time { return now.Add(time.Hour) }) // started an hour earlier
	c := newNode(func() time.Time { return now.Add(-time.Minute) })
	if !a.Found("s1", 7, now.Add(-time.Second)) || a.notified != 1 {
		t.Fatal("a server that fell silent is not told of")
	}
	if a.Found("s1", 7, now.Add(-time.Second)) {
		t.Error("the same silence is found again")
	}
	for range 3 {
		a.tell(b)
		b.tell(c)
		c.tell(a)
	}
	for name, n := range map[string]*node{"a": a, "b": b, "c": c} {
		if len(n.applied) != 1 {
			t.Errorf("%s applied %d reports, want 1", name, len(n.applied))
		}
	}
	if got, want := b.applied[0].Since, now.Add(time.Hour-time.Second); !got.Equal(want) {
		t.Errorf("silent since %v on b's clock, want %v", got, want)
	}
	if b.notified+c.notified > 0 {
		t.Error("a report that was received is told at once, want only by the instance that found it")
	}
	now = now.Add(avoidMost)
	if n := a.tell(newNode(func() time.Time { return now })); n > 0 {
		t.Errorf("%d reports are told that are over", n)
	}
}

// Guards against instances that learn seconds later what another failure domain
// knows, because they are no link of the one that found it.
func TestReportsOfOtherDomainsAreUrgent(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := newNode(func() time.Time { return now }), newNode(func() time.Time { return now })
	a.Found("s1", 7, now)
	d := new(peerpb.Digest)
	a.Digest(membership.Member{}, 0, d)
	for i, want := range []bool{true, false} {
		if got := b.Merge(membership.Member{FailureDomain: "remote"}, d); got != want {
			t.Errorf("%d. time: urgent %v, want %v", i+1, got, want)
		}
	}
}

// Guards against a server that hangs for long and gets a request of each
// instance every few seconds, and against one that is avoided for ever.
func TestSilentAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newNode(func() time.Time { return now })
	for i, want := range []time.Duration{avoidFirst, 2 * avoidFirst, avoidMost, avoidMost} {
		a.Found("s1", 7, now)
		if got := a.applied[i].Until.Sub(now); got != want {
			t.Errorf("found silent for the %d. time: avoided for %v, want %v", i+1, got, want)
		}
		now = a.applied[i].Until.Add(time.Second)
	}
	a.Found("s1", 8, now) // started again
	if got := a.applied[4].Until.Sub(now); got != avoidFirst {
		t.Errorf("another lifetime: avoided for %v, want %v", got, avoidFirst)
	}
	now = now.Add(time.Hour)
	a.Found("s1", 8, now)
	if got := a.applied[5].Until.Sub(now); got != avoidFirst {
		t.Errorf("found silent an hour later: avoided for %v, want %v", got, avoidFirst)
	}
}

// Guards against peers that fill the memory or shut servers out for long.
func TestHostileReports(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newNode(func() time.Time { return now })
	for i := range 10 * maxRows / batch {
		d := new(peerpb.Digest)
		for j := range 2 * batch {
			d.Suspects = append(d.Suspects, &peerpb.Suspect{Backend: fmt.Sprint(i, "/", j), Silence: 1 << 62, Left: 1 << 62})
		}
		a.Merge(membership.Member{}, d)
	}
	a.Merge(membership.Member{}, &peerpb.Digest{Suspects: []*peerpb.Suspect{{Backend: "x", Silence: -1, Left: 5}, {Backend: "y", Left: -5}}})
	if len(a.rows) > maxRows {
		t.Errorf("%d reports are kept, want at most %d", len(a.rows), maxRows)
	}
	for _, r := range a.applied {
		if r.Until.Sub(now) > avoidMost || r.Server == "x" || r.Server == "y" {
			t.Errorf("report %+v is applied at %v", r, now)
		}
	}
}
