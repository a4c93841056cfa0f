package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"

	"wasabiworks.example/wasabiworks/internal/bench/answer"
	"wasabiworks.example/wasabiworks/internal/bench/engine"
	"wasabiworks.example/wasabiworks/internal/bench/service"
)

// fakeEntry is a fake entry instance with a configurable fault.
type fakeEntry struct {
	fault   string
	service *service.Server
	// engine runs the prompts of rejected requests if runsRejected is set.
	engine       *engine.Server
	runsRejected bool
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch e.fault {
	case "not-run", "unknown":
		if e.runsRejected {
			e.generate(r)
		}
		w.Header().Set("Wasabiworks-Outcome", e.fault)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"error":{"message":"m","code":"c"}}`)
		return
	case "no outcome":
		w.WriteHeader(http.StatusInternalServerError)
		return
	case "no response":
		panic(http.ErrAbortHandler)
	}
	if path, ok := strings.CutPrefix(r.URL.Path, "/v1/services/kalendar-app"); ok {
		e.serveService(w, r, path)
		return
	}
	var body struct {
		Prompt   string
		Messages []answer.Message
		Max      int `json:"max_tokens"`
		Stream   bool
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if body.Messages != nil {
		body.Prompt = answer.ChatPrompt(body.Messages)
	}
	a := answer.Expected(body.Prompt)
	if !body.Stream {
		text := a.Text(body.Max)
		choice := fmt.Sprintf(`"text":%q`, text)
		if body.Messages != nil {
			choice = fmt.Sprintf(`"message":{"content":%q}`, text)
		}
		_, _ = fmt.Fprintf(w, `{"choices":[{%s,"finish_reason":%q}]}`, choice, a.FinishReason(body.Max))
		return
	}
	e.stream(w, r, a, body.Max)
}

// generate runs the prompt of a chat at the engine.
func (e *fakeEntry) generate(r *http.Request) {
	var body struct{ Messages []answer.Message }
	_ = json.NewDecoder(r.Body).Decode(&body)
	prompt := answer.ChatPrompt(body.Messages)
	req := httptest.NewRequest(http.MethodPost, "/generate", bytes.NewReader(encode(map[string]any{"prompt": prompt, "max-tokens": 1})))
	req.Header.Set("Attempt", strconv.FormatUint(engine.PromptHash(prompt), 16))
	e.engine.ServeHTTP(httptest.NewRecorder(), req)
}

func (e *fakeEntry) serveService(w http.ResponseWriter, r *http.Request, path string) {
	r.URL.Path = path
	if e.fault == "doubled" {
		body, _ := io.ReadAll(r.Body)
		for range 2 {
			r.Body = io.NopCloser(bytes.NewReader(body))
			e.service.ServeHTTP(httptest.NewRecorder(), r)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	if e.fault == "rejects after the run" {
		e.service.ServeHTTP(httptest.NewRecorder(), r)
		w.Header().Set("Wasabiworks-Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"error":{}}`)
		return
	}
	e.service.ServeHTTP(w, r)
}

func (e *fakeEntry) stream(w http.ResponseWriter, r *http.Request, a answer.Response, limit int) {
	from := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-ID")); err == nil {
		from = last + 1
	}
	for i := from; i < a.Length(limit); i++ {
		token, finishReason := a.Token(i), ""
		if e.fault == "wrong token" && i == 3 {
			token = a.Token(4)
		}
		if i == 5 && from == 0 {
			switch e.fault {
			case "break":
				panic(http.ErrAbortHandler)
			case "break without ID":
				return
			case "failure":
				_, _ = fmt.Fprint(w, "data: {\"error\":{\"message\":\"m\",\"code\":\"c\"},\"outcome\":\"unknown\"}\n\n")
				return
			}
		}
		if i == a.Length(limit)-1 {
			finishReason = a.FinishReason(limit)
		}
		if e.fault != "break without ID" {
			_, _ = fmt.Fprintf(w, "id: %d\n", i)
		}
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":%q}]}\n\n", token, finishReason)
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// mixOf returns the mix dvorak, reduced to the given class.
func mixOf(t *testing.T, class string) Mix {
	m, err := MixNamed("dvorak")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range m.Classes {
		if c.Name == class {
			m.Classes = []Class{c}
			return m
		}
	}
	t.Fatalf("no class %s", class)
	return m
}

// Guards against a load tool that counts a broken guarantee as an answered
// request, or a correctly reported failure as a broken guarantee.
func TestOutcomeMatchesFault(t *testing.T) {
	for _, c := range []struct {
		class, fault string
		want         Outcome
	}{
		{"quick-question", "", OutcomeAnswered},
		{"customer-reply", "", OutcomeAnswered},
		{"quick-question", "not-run", OutcomeNotRun},
		{"quick-question", "unknown", OutcomeUnknown},
		{"quick-question", "no outcome", OutcomeWrong},
		{"quick-question", "no response", OutcomeUnknown},
		{"quick-question", "wrong token", OutcomeWrong},
		{"quick-question", "break", OutcomeAnswered}, // resumed
		{"quick-question", "break without ID", OutcomeCutOff},
		{"quick-question", "failure", OutcomeUnknown},
		{"booking", "", OutcomeAnswered},
		{"booking", "not-run", OutcomeNotRun},
		{"booking", "doubled", OutcomeDoubled},
		{"booking", "rejects after the run", OutcomeWrong},
	} {
		t.Run(c.class+" "+c.fault, func(t *testing.T) {
			serviceFake := service.New(service.Config{})
			serviceServer := httptest.NewServer(serviceFake)
			defer serviceServer.Close()
			entryServer := httptest.NewServer(&fakeEntry{fault: c.fault, service: serviceFake})
			defer entryServer.Close()
			mix := mixOf(t, c.class)
			mix.Classes[0].ResendShare = 0
			const n = 8
			r, err := Run(t.Context(), Config{
				Mix: mix, Seed: 1, Rate: 1000, Duration: time.Minute, Count: n,
				Targets: []string{strings.TrimPrefix(entryServer.URL, "http://")}, Services: []string{strings.TrimPrefix(serviceServer.URL, "http://")},
			})
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(map[Outcome]int{c.want: n}, r.Total.Outcomes); diff != "" {
				t.Errorf("outcomes with fault %q (-want +got):\n%s%s", c.fault, diff, strings.Join(r.Details, "\n"))
			}
			if c.fault == "break" && r.Resumed != n {
				t.Errorf("%d of %d streams were resumed", r.Resumed, n)
			}
			if r.RunCheck != "complete" {
				t.Errorf("run check is %s", r.RunCheck)
			}
		})
	}
}

// Guards against a run that cannot be reproduced from its seed.
func TestGeneratorIsReproducible(t *testing.T) {
	for _, name := range []string{"kuttanad", "dvorak"} {
		m, err := MixNamed(name)
		if err != nil {
			t.Fatal(err)
		}
		c := Config{Mix: m, Seed: 7, KeyPrefix: "r", Rate: 10, TokenScale: 0.5}
		a, b := newGenerator(c), newGenerator(c)
		c.Seed = 8
		other := newGenerator(c)
		var last, differ time.Duration
		for range 200 {
			q := a.next()
			if r := b.next(); !reflect.DeepEqual(q, r) {
				t.Fatalf("mix %s differs with the same seed:\n%s", name, cmp.Diff(q, r))
			}
			last, differ = q.Arrival, differ+(other.next().Arrival-q.Arrival).Abs()
		}
		if rate := 200 / last.Seconds(); rate < 7 || rate > 14 {
			t.Errorf("mix %s arrives at %.1f/s with seed 7, want about 10/s", name, rate)
		}
		if differ == 0 {
			t.Errorf("mix %s is the same with another seed", name)
		}
	}
}

// Guards against a run without a limit or with an invalid one, and against an
// error that does not name all invalid fields.
func TestInvalidConfigNamesAllErrors(t *testing.T) {
	is := is.New(t)
	_, err := Run(t.Context(), Config{Rate: -1})
	is.True(err != nil)
	for _, name := range []string{"mix", "rate", "duration", "targets"} {
		if !strings.Contains(err.Error(), name) {
			t.Errorf("error %q does not name %s", err, name)
		}
	}
}

// Guards against a comparison that omits a difference in a class that is in both
// reports.
func TestComparisonShowsDifferences(t *testing.T) {
	is := is.New(t)
	report := func(wrong int, p95 float64) *Report {
		c := ClassReport{Sent: 10, Outcomes: map[Outcome]int{OutcomeWrong: wrong, OutcomeAnswered: 10 - wrong}, FirstToken: Summary{Count: 10, P95: p95}}
		return &Report{Mix: "dvorak", Total: c, Classes: map[string]*ClassReport{"a": &c}}
	}
	var out bytes.Buffer
	is.NoErr(WriteComparison(&out, report(0, 100), report(2, 150)))
	for _, want := range []string{"total first-token p95-ms", "+50.0%", "a wrong"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("comparison lacks %q:\n%s", want, out.String())
		}
	}
}
