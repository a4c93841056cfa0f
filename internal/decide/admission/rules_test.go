package admission

import (
	"testing"
	"time"
)

// at returns the time some milliseconds after the arrival of the requests of the tests.
func at(ms int) time.Time { return modelStart.Add(time.Duration(ms) * time.Millisecond) }

// Guards against requests that are held although they cannot be served in time, and
// against ones that are refused although they could be.
func TestHoldUntil(t *testing.T) {
	for _, tt := range []struct {
		name                          string
		objective, deadline, servable int // ms after the arrival; 0 means none
		want                          int
	}{
		{"an eighth of the objective", 800, 5000, 0, 100},
		{"server comes back within that", 800, 5000, 50, 150},
		{"server comes back in time", 800, 5000, 300, 400},
		{"server comes back just in time", 800, 5000, 650, 700},
		{"server comes back too late", 800, 5000, 701, 0},
		{"no objective", 0, 5000, 50, 0},
		{"too little time left", 800, 90, 0, -10},
		{"little time left", 800, 150, 0, 50},
	} {
		r := Request{Arrival: at(0), Deadline: at(tt.deadline), ServiceTime: 100 * time.Millisecond}
		if tt.objective > 0 {
			r.Objective = at(tt.objective)
		}
		servable := time.Time{}
		if tt.servable > 0 {
			servable = at(tt.servable)
		}
		if got := r.HoldUntil(servable); !got.Equal(at(tt.want)) {
			t.Errorf("%s: held until %v after the arrival, want %d ms", tt.name, got.Sub(at(0)), tt.want)
		}
	}
}

// Guards against clients that return together, too late to be served, or sooner than the
// request can be served.
func TestRetryAfter(t *testing.T) {
	for _, tt := range []struct {
		name              string
		urgency           int
		objective         int // ms after the arrival; 0 means none
		deadline          int // 0 means unknown
		servable          int // -1 means unknown
		perSecond, random float64
		want              int // ms
	}{
		{"unknown", 9, 0, 9000, -1, 0, 0, 300},
		{"unknown, with jitter", 9, 0, 9000, -1, 0, 0.5, 325},
		{"unknown, many refused", 9, 0, 9000, -1, 50, 0.5, 800},
		{"unknown, very many refused", 9, 0, 9000, -1, 1e6, 0.5, 1300},
		{"urgent", 0, 0, 9000, -1, 0, 0, 75},
		{"urgent, many refused", 0, 0, 9000, -1, 50, 0.5, 200},
		{"objective can still be met", 9, 500, 9000, -1, 0, 0, 200},
		{"known", 9, 0, 9000, 2000, 0, 0, 2000},
		{"urgent, known", 0, 0, 9000, 2000, 0, 0, 2000},
		{"now", 0, 0, 9000, 0, 0, 0, 1},
		{"third of the time left", 9, 0, 900, 2000, 0, 0, 300},
		{"third of the time left, with jitter", 9, 0, 900, 2000, 0, 0.5, 270},
		{"no time left", 9, 0, -5, 2000, 0, 0, 0},
		{"deadline unknown", 9, 0, 0, 2000, 0, 0, 2000},
	} {
		r := Refusal{Request: Request{Urgency: tt.urgency, Arrival: at(0), ServiceTime: 100 * time.Millisecond}, PerSecond: tt.perSecond, Random: tt.random}
		if tt.objective > 0 {
			r.Request.Objective = at(tt.objective)
		}
		if tt.deadline != 0 {
			r.Request.Deadline = at(tt.deadline)
		}
		if tt.servable >= 0 {
			r.Servable = at(tt.servable)
		}
		if got, want := r.RetryAfter(at(0)), time.Duration(tt.want)*time.Millisecond; got.Round(time.Millisecond) != want {
			t.Errorf("%s: got %v, want %v", tt.name, got, want)
		}
	}
}

// Guards against clients that gain from a retry before the time that they were told, and
// against a memory of refusals that grows without bound.
func TestRefusalsRecogniseRetries(t *testing.T) {
	var r RefusalHistory
	r.Add(7, at(300), at(0))
	if r.Retried(7, at(299)) || !r.Retried(7, at(300)) || r.Retried(8, at(300)) {
		t.Error("want only request 7 recognised, from 300 ms on")
	}
	for f := range uint64(3 * maxRefusals) {
		r.Add(100+f, at(0), at(0))
	}
	if len(r.retryAt) != maxRefusals || r.Retried(7, at(300)) {
		t.Errorf("remembers %d refusals, want the last %d", len(r.retryAt), maxRefusals)
	}
}

// Guards against a full queue that sheds urgent or cheap requests, or those of a small
// workspace, and against one that exceeds its bounds.
func TestFullQueueShedsTheCheapest(t *testing.T) {
	q := NewQueue[string](Config{MaxRequests: 4, MaxBytes: 100})
	offer := func(name, workspace string, urgency int, work float64, bytes int64) []*Entry[string] {
		_, shed := q.Offer(Request{Workspace: workspace, Urgency: urgency, Arrival: at(q.Len()), Deadline: at(5000), Work: work, Bytes: bytes}, name, at(100), at(0))
		return shed
	}
	offer("urgent", "a", 0, 100, 1)
	offer("small workspace", "b", 3, 100, 1)
	offer("large", "a", 3, 90, 1)
	offer("cheap", "a", 3, 10, 1)
	for _, tt := range []struct {
		name    string
		urgency int
		bytes   int64
		want    string
	}{{"second urgent", 0, 1, "large"}, {"not urgent", 9, 1, "not urgent"}, {"many bytes", 9, 98, "many bytes"}} {
		shed := offer(tt.name, "a", tt.urgency, 1, tt.bytes)
		if len(shed) != 1 || shed[0].Value != tt.want {
			t.Errorf("%s: shed %d requests, want %q only", tt.name, len(shed), tt.want)
		}
	}
	if q.Len() != 4 || q.bytes != 4 {
		t.Errorf("holds %d requests of %d bytes, want 4 of 4", q.Len(), q.bytes)
	}
}

// Guards against an order of requests that ignores retries, slack or when they are ready.
func TestOrderWithinAWorkspace(t *testing.T) {
	q := NewQueue[string](Config{MaxRequests: 10, MaxBytes: 100})
	offer := func(name string, objective int, change func(*Request)) {
		r := Request{Arrival: at(0), Objective: at(objective), Deadline: at(5000), ServiceTime: 50 * time.Millisecond}
		change(&r)
		q.Offer(r, name, at(1000), at(0))
	}
	offer("late", 20, func(*Request) {})
	offer("large", 500, func(r *Request) { r.ServiceTime = 300 * time.Millisecond })
	offer("small", 400, func(*Request) {})
	offer("retried", 900, func(r *Request) { r.Retried = true })
	offer("not ready", 100, func(r *Request) { r.ReadyAt = at(600) })
	for _, want := range []string{"retried", "large", "small", "late"} {
		if e := q.Next(at(1)); e == nil || e.Value != want {
			t.Fatalf("got %v next, want %s", e, want)
		}
	}
	if e := q.Next(at(1)); e != nil {
		t.Errorf("got %s, which is not ready", e.Value)
	}
	if got := q.Wake(at(1)); !got.Equal(at(600)) {
		t.Errorf("wakes at %v, want when the last request is ready", got)
	}
	if expired := q.Expire(at(1000)); len(expired) != 1 || q.Len() != 0 {
		t.Errorf("%d requests expired, want 1", len(expired))
	}
}
