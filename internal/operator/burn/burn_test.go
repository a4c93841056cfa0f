package burn

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
	"github.com/sebdah/goldie/v2"

	"wasabiworks.example/wasabiworks/internal/operator/admin"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// Guards against windows that contain older requests or miss recent ones, and
// against a history that grows without bound.
func TestRecorderWindows(t *testing.T) {
	r := NewRecorder(start)
	count := func(minute int) []Counts { return []Counts{{Good: uint64(minute)}} }
	check := func(minute int, d time.Duration, low, high uint64) {
		t.Helper()
		now := start.Add(time.Duration(minute) * time.Minute)
		increase, covered := r.Window(now, d, count(minute))
		if got := increase[0][Good]; got < low || got > high || covered != time.Duration(got)*time.Minute {
			t.Errorf("after %d minutes, the last %v have %d in %v, want %d to %d, one a minute", minute, d, got, covered, low, high)
		}
	}
	for minute := range 50*60 + 1 {
		now := start.Add(time.Duration(minute) * time.Minute)
		r.Sample(now, count(minute))
		r.Sample(now.Add(30*time.Second), count(minute)) // second sample within the minute
		switch minute {
		case 3:
			check(minute, ShortWindow, 3, 3)
		case 30:
			check(minute, ShortWindow, 5, 5)
			check(minute, LongWindow, 30, 30)
		case 90:
			check(minute, LongWindow, 60, 60)
			check(minute, BudgetWindow, 90, 90)
		case 50 * 60:
			check(minute, ShortWindow, 5, 5)
			check(minute, LongWindow, 60, 60)
			check(minute, BudgetWindow, 24*60, 25*60)
		}
	}
	if n, m := len(r.minutes.samples), len(r.hours.samples); n != 61 || m != 25 {
		t.Errorf("the recorder keeps %d and %d samples, want 61 and 25", n, m)
	}
}

// Guards against a wrong count for a series that was added within the window.
func TestRecorderNewSeries(t *testing.T) {
	is := is.New(t)
	r := NewRecorder(start)
	r.Sample(start, []Counts{{Good: 2}})
	increase, _ := r.Window(start.Add(5*time.Minute), ShortWindow, []Counts{{Good: 3}, {Slow: 4}})
	is.Equal(increase, []Counts{{Good: 1}, {Slow: 4}})
}

// testInstance holds the metrics of an instance and its clock.
type testInstance struct {
	*Metrics
	registry *prometheus.Registry
	now      time.Time
}

func newTestInstance(t testing.TB) *testInstance {
	instance := &testInstance{registry: prometheus.NewRegistry(), now: start}
	var err error
	if instance.Metrics, err = New(Config{Registry: instance.registry, Now: func() time.Time { return instance.now }}); err != nil {
		t.Fatal(err)
	}
	return instance
}

func (i *testInstance) scrape(t *testing.T) []byte {
	t.Helper()
	families, err := i.registry.Gather()
	if err != nil {
		t.Fatalf("Gather = %v", err)
	}
	var b bytes.Buffer
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(&b, f); err != nil {
			t.Fatal(err)
		}
	}
	return b.Bytes()
}

// Guards against unbounded growth of the metrics and failed scrapes from label
// values that clients or operators choose, and against requests that are not
// counted because of their label value.
func TestMetricsAreBounded(t *testing.T) {
	instance := newTestInstance(t)
	instance.AddResult("\xff", "\xff", Result(99))
	for i := range 3 * maxSeries {
		instance.AddResult(fmt.Sprintf("entry-%d", i), "mills", Good)
		instance.AddRejection(fmt.Sprintf("reason-%d", i))
	}
	instance.SetMoves([]MoveShare{{"a", "m", "v2", 0.5}, {"a", "m", "v2", 0.7}, {"\xff", "\xff", "\xff", 1}})
	text := string(instance.scrape(t))
	if got := strings.Count(text, "wasabiworks_requests_total{"); got != 6*maxSeries {
		t.Errorf("got %d series of requests, want %d", got, 6*maxSeries)
	}
	for _, want := range []string{
		fmt.Sprintf(`wasabiworks_requests_total{entry="other",result="good",workspace="other"} %d`, 2*maxSeries+2),
		`wasabiworks_requests_total{entry="?",result="failed",workspace="?"} 1`,
		fmt.Sprintf(`wasabiworks_rejections_total{reason="other"} %d`, 3*maxSeries-maxReasons+1),
		`wasabiworks_move_share{entry="a",move="m",version="v2"} 0.5`,
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("metrics lack %s", want)
		}
	}
}

// Guards against client errors that spend the error budget of an entry, and
// against faults of the system that do not.
func TestClassifySeparatesClientErrorsFromFaults(t *testing.T) {
	for _, tt := range []struct {
		request Request
		want    Result
		counts  bool
	}{
		{Request{}, Good, true},
		{Request{Slow: true}, Slow, true},
		{Request{Outcome: notRun, Code: "rate_limited"}, Limited, true},
		{Request{Outcome: notRun, Code: "no_backend"}, Rejected, true},
		{Request{Outcome: notRun, Code: "invalid_json"}, 0, false},
		{Request{Outcome: notRun, Code: "new_code"}, Rejected, true},
		{Request{Outcome: "unknown", Code: "backend_failed"}, Failed, true},
		{Request{Outcome: "unknown", Code: "backend_failed", Reclaimed: true}, Reclaimed, true},
		{Request{Reclaimed: true}, Good, true}, // resumed on another backend server
		{Request{Outcome: "unknown", Canceled: true}, 0, false},
	} {
		if got, counts := Classify(tt.request); got != tt.want || counts != tt.counts {
			t.Errorf("Classify(%+v) = %v, %v, want %v, %v", tt.request, got, counts, tt.want, tt.counts)
		}
	}
	instance := newTestInstance(t)
	instance.AddRequest("a", "mills", Request{Outcome: notRun, Code: "rate_limited"})
	instance.AddRequest("a", "mills", Request{Outcome: notRun, Code: "invalid_json"})
	instance.AddRequest("made-up", "", Request{Outcome: notRun, Code: "no_catalogue"})
	text := string(instance.scrape(t))
	for _, want := range []string{`{entry="other",result="rejected",workspace="other"} 1`, `{entry="a",result="limited",workspace="mills"} 1`, `{entry="a",result="rejected",workspace="mills"} 0`, `{entry="a",result="good",workspace="mills"} 0`, `{reason="invalid_json"} 1`, `{reason="rate_limited"} 1`} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("metrics lack %s", want)
		}
	}
}

// newInput returns the input of a report on two instances with metrics and two
// whose metrics cannot be read.
func newInput(t *testing.T) Input {
	a, b := newTestInstance(t), newTestInstance(t)
	for range 900 {
		a.AddResult("sack-assist", "mills", Good)
		b.AddResult("sack-assist", "mills", Good)
		a.ObserveFirstToken(0.9)
		a.ObserveBetweenTokens(0.0305)
	}
	a.AddTokens(400_000, 1000, 2000)
	a.now, b.now = start.Add(2*time.Hour), start.Add(2*time.Hour)
	a.Sample()
	b.Sample()
	a.now, b.now = a.now.Add(10*time.Minute), b.now.Add(10*time.Minute)
	for range 90 {
		a.AddResult("sack-assist", "depots", Good)
		a.AddResult("retired", "mills", Good)
	}
	for r := Slow; r <= Limited; r++ {
		a.AddResult("sack-assist", "depots", r)
		b.AddResult("sack-assist", "mills", r)
	}
	a.AddTokens(100_000, 0, 500)
	a.AddRejection("overload")
	move := catalogue.Move{ID: "m", Entry: "sack-assist", From: "v1", To: "v2", Start: start, Deadline: start.Add(4 * time.Hour), KeepUntil: start.Add(6 * time.Hour)}
	c := &catalogue.Catalogue{
		Entries: []catalogue.Entry{
			{Name: "sack-assist", Objective: catalogue.Objective{FirstToken: 1200 * time.Millisecond, BetweenTokens: 41 * time.Millisecond, Success: 0.95}},
			{Name: "ledger-desk", Objective: catalogue.Objective{FirstToken: time.Second, Success: 0.999}},
		},
		Moves: []catalogue.Move{move},
		Ended: catalogue.EndedMoves{Done: 3, RolledBack: 1},
	}
	return Input{
		Snapshot:  catalogue.NewSnapshot(12, c),
		Instances: []instances.Instance{{Price: 0.1}, {Price: 1.4}},
		Statuses:  []admin.StatusResult{{Status: admin.Status{Moves: []admin.Move{{ID: "m", Share: 0.25, Phase: admin.PhaseRunning, Reason: "no evidence against v2"}}}}},
		Scrapes: []Scrape{
			{Instance: "a", Data: a.scrape(t)}, {Instance: "b", Data: b.scrape(t)},
			{Instance: "<script>c", Err: errors.New("connection refused")}, {Instance: "d", Data: []byte("not metrics {")},
		},
	}
}

// Guards against a report with wrong sums or budgets, and against a report that
// omits instances whose metrics cannot be read.
func TestReportSumsInstancesAndListsUncovered(t *testing.T) {
	r := Build(newInput(t), start.Add(2*time.Hour+10*time.Minute))
	var text bytes.Buffer
	if err := r.Write(&text, FormatText); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "report", text.Bytes())
	var data bytes.Buffer
	if err := r.Write(&data, FormatJSON); err != nil {
		t.Fatal(err)
	}
	var decoded Report
	if err := json.Unmarshal(data.Bytes(), &decoded); err != nil || len(decoded.Rows) != len(r.Rows) || decoded.Measures != r.Measures {
		t.Errorf("the JSON report reads back as %+v, %v, want %+v", decoded.Measures, err, r.Measures)
	}
	if err := r.Write(&data, "pdf"); err == nil {
		t.Error("Write(pdf) succeeded, want an error")
	}
}

// Guards against reporting a missed objective or a late move because no instance
// returned data.
func TestReportWithoutInstances(t *testing.T) {
	is := is.New(t)
	in := newInput(t)
	in.Statuses, in.Scrapes = nil, nil
	r := Build(in, start.Add(5*time.Hour)) // past the move's deadline
	is.Equal(r.Measures.MovesLate, 0)
	is.Equal(r.Measures.MovesUnknown, 1)
	is.Equal(r.Measures.Lines()[0].Value, "no tokens in the last hour")
	is.Equal(r.Measures.Lines()[1].Value, "no requests in the last hour")
}

// Guards against a page that loads resources over the network, and against
// unescaped text from instances.
func TestPageIsSelfContained(t *testing.T) {
	var b bytes.Buffer
	if err := Build(newInput(t), start.Add(2*time.Hour+10*time.Minute)).Write(&b, FormatHTML); err != nil {
		t.Fatal(err)
	}
	if found := regexp.MustCompile(`(?i)(src|href)=|url\(|@import|https?:|<script`).FindString(b.String()); found != "" {
		t.Errorf("the page contains %q", found)
	}
	if n := strings.Count(b.String(), "<svg"); n != 3 {
		t.Errorf("the page has %d plots, want 3", n)
	}
}

// Guards against quantiles outside their bucket and against division by zero.
func TestQuantileStaysWithinBucket(t *testing.T) {
	inf := math.Inf(1)
	for _, tt := range []struct {
		b    buckets
		want float64
	}{
		{nil, 0},
		{buckets{1: 0, inf: 0}, 0},
		{buckets{1: 100, inf: 100}, 0.95},
		{buckets{1: 90, 2: 100, inf: 100}, 1.5},
		{buckets{1: 50, inf: 100}, 1},
	} {
		if got := tt.b.quantile(0.95); math.Abs(got-tt.want) > 1e-9 {
			t.Errorf("quantile(0.95) of %v = %v, want %v", tt.b, got, tt.want)
		}
	}
}

func BenchmarkOutcome(b *testing.B) {
	instance := newTestInstance(b)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			instance.AddResult("sack-assist", "mills", Good)
		}
	})
}
