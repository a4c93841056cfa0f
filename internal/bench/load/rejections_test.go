package load

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wasabiworks.example/wasabiworks/internal/bench/engine"
)

// Guards against a request that counts as not run although an engine ran it, and
// against executions before a run that are attributed to it.
func TestRejectedRequestThatRanIsWrong(t *testing.T) {
	e := engine.New(engine.Config{})
	engineServer := httptest.NewServer(e)
	defer engineServer.Close()
	entryServer := httptest.NewServer(&fakeEntry{fault: "not-run", engine: e})
	defer entryServer.Close()
	host := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	for _, c := range []struct {
		name         string
		runsRejected bool
		want         map[Outcome]int
	}{
		{"ran", true, map[Outcome]int{OutcomeWrong: 5, OutcomeNotRun: 0}},
		{"ran earlier", false, map[Outcome]int{OutcomeNotRun: 5}},
	} {
		entryServer.Config.Handler.(*fakeEntry).runsRejected = c.runsRejected
		r, err := Run(t.Context(), Config{
			Mix: mixOf(t, "quick-question"), Seed: 1, Rate: 1000, Duration: time.Minute, Count: 5,
			Targets: []string{host(entryServer)}, Engines: []string{host(engineServer)},
		})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(c.want, r.Total.Outcomes); diff != "" {
			t.Errorf("outcomes of requests that %s (-want +got):\n%s", c.name, diff)
		}
	}
}
