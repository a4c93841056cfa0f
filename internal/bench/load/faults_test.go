package load

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"

	"wasabiworks.example/wasabiworks/internal/bench/engine"
	"wasabiworks.example/wasabiworks/internal/bench/fault"
	"wasabiworks.example/wasabiworks/internal/bench/platform"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

// Guards against a fault that is parsed incorrectly, so that the load tool runs
// without it or with another fault.
func TestParseFault(t *testing.T) {
	for _, c := range []struct {
		in   string
		want Fault
		err  string
	}{
		{in: "5s e1 leave", want: Fault{At: 5 * time.Second, Address: "e1", Fault: fault.Fault{Kind: "leave"}}},
		{
			in: "0s platform reclaim target=zlin value=a version=2 for=10s",
			want: Fault{
				Address: "platform", Duration: 10 * time.Second,
				Fault: fault.Fault{Kind: "reclaim", Target: "zlin", Value: "a", Version: "2"},
			},
		},
		{in: "5s e1", err: "must be AT ADDRESS KIND"},
		{in: "x e1 leave", err: `"x" must be a non-negative duration such as 5s`},
		{in: "1s e1 leave for=-1s", err: "must be a positive duration such as for=5s"},
		{in: "1s e1 leave until=x", err: "must be one of"},
	} {
		got, err := ParseFault(c.in)
		if c.err != "" {
			if err == nil || !strings.Contains(err.Error(), c.err) {
				t.Errorf("ParseFault(%q) = %v, want an error with %q", c.in, err, c.err)
			}
			continue
		}
		if diff := cmp.Diff(c.want, got); diff != "" || err != nil {
			t.Errorf("ParseFault(%q) = %v (-want +got):\n%s", c.in, err, diff)
		}
		if again, err := ParseFault(got.String()); err != nil || again != got {
			t.Errorf("ParseFault(%q) = %v, %v, want %v", got.String(), again, err, got)
		}
	}
}

// Guards against faults that are not injected into the addressed fake, and
// against a failed injection that is missing from the report.
func TestFaultsAreInjected(t *testing.T) {
	is := is.New(t)
	p := platform.New(platform.Config{})
	e := engine.New(engine.Config{})
	hosts := make(map[string]string)
	for name, s := range map[string]*httptest.Server{
		"platform": httptest.NewServer(p), "e1": httptest.NewServer(e), "n1": httptest.NewServer(&fakeEntry{}),
	} {
		defer s.Close()
		hosts[name] = strings.TrimPrefix(s.URL, "http://")
	}
	list := instances.New(instances.Config{Address: hosts["platform"]})
	for id, role := range map[string]string{"e1": instances.RoleBackend, "n1": instances.RoleEntry} {
		is.NoErr(list.Register(t.Context(), instances.Instance{
			ID: id, Role: role, Kind: instances.KindLanguage, FailureDomain: "zlin", State: instances.StateLive, Address: hosts[id], Price: 3600,
		}))
	}
	r, err := Run(t.Context(), Config{
		Mix: mixOf(t, "quick-question").WithPoison(0.5), Seed: 1, Rate: 1000, Duration: time.Minute, Count: 20,
		Platform: hosts["platform"],
		Faults: []Fault{
			{Address: "e1", Fault: fault.Fault{Kind: fault.Leave}},
			{Address: "platform", Fault: fault.Fault{Kind: platform.Outage, Target: "cloud"}},
			{Address: "e2", Fault: fault.Fault{Kind: fault.Leave}},
		},
	})
	is.NoErr(err)
	<-e.Leaving()
	is.Equal(len(r.FaultErrors), 1)
	is.True(strings.Contains(r.FaultErrors[0], "e2"))
	is.Equal(r.Total.Outcomes, map[Outcome]int{OutcomeAnswered: 20})
	is.True(r.Classes["poison"].Sent > 0)
	is.True(r.Cost > 0)
}
