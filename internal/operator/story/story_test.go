package story

import (
	"strings"
	"testing"
)

const logs = `   1.2 edge-1 {"level":"info","ts":100.0,"msg":"follower's call to the store failed","instance":"edge-1","error":"timeout"}
{"level":"info","ts":101.0,"msg":"request ended","instance":"edge-1","request":"r1","reason":"answer-lost","status":502,"sends":[{"server":"s1","fate":"lost"}]}
{"level":"info","ts":101.5,"msg":"server changed","instance":"edge-1","server":"s1"}
{"level":"info","ts":101.6,"msg":"server changed","instance":"edge-1","server":"s2"}
{"level":"info","ts":101.0,"msg":"request ended","instance":"edge-1","request":"r2"}
{"level":"info","ts":101.0,"msg":"follower's call to the store failed","instance":"edge-2"}
{"level":"info","ts":140.0,"msg":"follower's calls to the store succeed again","instance":"edge-1"}
no JSON
{"broken
`

// Guards against a story that lacks what decided the request, or that holds
// what other requests, instances and times had.
func TestRead(t *testing.T) {
	got, err := Read(strings.NewReader(logs), "r1")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"follower's call to the store failed", "reason=answer-lost", `"fate":"lost"`, "server=s1"} {
		if !strings.Contains(got, want) {
			t.Errorf("story lacks %q:\n%s", want, got)
		}
	}
	for _, other := range []string{"r2", "edge-2", "server=s2", "succeed again"} {
		if strings.Contains(got, other) {
			t.Errorf("story holds %q:\n%s", other, got)
		}
	}
	if _, err := Read(strings.NewReader(logs), "r9"); err == nil {
		t.Error("unknown request: got no error")
	}
}
