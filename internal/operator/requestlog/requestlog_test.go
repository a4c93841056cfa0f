package requestlog

import (
	"strings"
	"testing"
)

const logs = `   1.2 edge-1 {"level":"info","ts":100.0,"msg":"follower's call to the store failed","instance":"edge-1","error":"timeout"}
{"level":"info","ts":101.0,"msg":"request ended","instance":"edge-1","request":"r1","reason":"answer-lost","status":502,"sends":[{"server":"s1","fate":"lost"}]}
{"level":"info","ts":101.5,"msg":"server added or changed","instance":"edge-1","server":"s1"}
{"level":"info","ts":101.6,"msg":"server added or changed","instance":"edge-1","server":"s2"}
{"level":"info","ts":101.0,"msg":"request ended","instance":"edge-1","request":"r2"}
{"level":"info","ts":101.0,"msg":"follower's call to the store failed","instance":"edge-2"}
{"level":"info","ts":140.0,"msg":"follower's calls to the store succeed again","instance":"edge-1"}
no JSON
{"broken
`

// Guards against output that omits the events that decided the outcome of a
// request, or that includes events of other requests, instances, servers or times.
func TestReadSelectsRelatedLines(t *testing.T) {
	got, err := Read(strings.NewReader(logs), "r1")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"follower's call to the store failed", "reason=answer-lost", `"fate":"lost"`, "server=s1"} {
		if !strings.Contains(got, want) {
			t.Errorf("output lacks %q:\n%s", want, got)
		}
	}
	for _, unwanted := range []string{"r2", "edge-2", "server=s2", "succeed again"} {
		if strings.Contains(got, unwanted) {
			t.Errorf("output contains %q:\n%s", unwanted, got)
		}
	}
	if _, err := Read(strings.NewReader(logs), "r9"); err == nil {
		t.Error("Read with an unknown request: got no error")
	}
}

// Guards against logs that cannot be read at all because of one very long line, as
// another program may write it.
func TestReadSkipsLongLines(t *testing.T) {
	own := `{"ts":1,"msg":"request ended","instance":"a","request":"r1"}`
	for _, logs := range []string{
		strings.Repeat("x", 3<<20) + "\n" + own + "\n",
		own + "\n" + strings.Repeat("x", 3<<20),
		own,
	} {
		out, err := Read(strings.NewReader(logs), "r1")
		if err != nil || !strings.Contains(out, "request ended") {
			t.Errorf("logs of %d bytes: got %q and error %v, want the request's line", len(logs), out, err)
		}
	}
}
