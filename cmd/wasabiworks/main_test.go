package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"

	"wasabiworks.example/wasabiworks/internal/bench/fault"
	"wasabiworks.example/wasabiworks/internal/bench/platform"
	"wasabiworks.example/wasabiworks/internal/operator/admin"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

// testTime is the time of the fake clock.
var testTime = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// shell runs command lines against a fake platform.
type shell struct {
	t         *testing.T
	directory string
	platform  string
	fake      *platform.Server
}

func newShell(t *testing.T) *shell {
	fake := platform.New(platform.Config{})
	server := httptest.NewServer(fake)
	t.Cleanup(server.Close)
	t.Cleanup(fake.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	t.Setenv("WASABIWORKS_PLATFORM", address)
	t.Setenv("WASABIWORKS_AUTHOR", "Asha")
	directory := t.TempDir()
	t.Chdir(directory)
	return &shell{t, directory, address, fake}
}

func (s *shell) run(in string, args ...string) (status int, out, stderr string) {
	s.t.Helper()
	var o, e bytes.Buffer
	status = run(&app{stdin: strings.NewReader(in), stdout: &o, stderr: &e, now: func() time.Time { return testTime }}, args)
	return status, o.String(), e.String()
}

// mustRun runs a command that must succeed and returns its output.
func (s *shell) mustRun(in string, args ...string) string {
	s.t.Helper()
	status, out, stderr := s.run(in, args...)
	if status != 0 {
		s.t.Fatalf("%q: exit status %d, stderr %q, want 0", args, status, stderr)
	}
	return out
}

func (s *shell) write(name, text string) {
	s.t.Helper()
	if err := os.WriteFile(filepath.Join(s.directory, name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// startInstance starts and registers an entry instance that serves status.
func (s *shell) startInstance(id string, status admin.Status) {
	s.t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status)
	}))
	s.t.Cleanup(server.Close)
	s.register(id, strings.TrimPrefix(server.URL, "http://"))
}

func (s *shell) register(id, address string) {
	s.t.Helper()
	err := instances.New(instances.Config{Address: s.platform}).Register(s.t.Context(), instances.Instance{
		ID: id, Role: instances.RoleEntry, Region: "morava", FailureDomain: "brno-a", State: instances.StateLive,
		Address: address, PeerAddress: address, OperationsAddress: address,
	})
	if err != nil {
		s.t.Fatal(err)
	}
}

const example = `
workspaces: [{name: mills, owner: Asha}]
entries:
  - {name: sack-assist, owner: Asha, kind: language, class: batch, version: v1,
     objective: {first-token: 1s, between-tokens: 41ms, success: 0.99}}
`

// Guards against an apply that overwrites another operator's change, against a
// shown catalogue that cannot be applied again, and against invalid input that
// changes the catalogue.
func TestCatalogueCommands(t *testing.T) {
	s := newShell(t)
	s.write("first.yaml", example)
	s.mustRun("", "catalogue", "check", "first.yaml")
	s.mustRun("", "catalogue", "apply", "--comment", "first", "first.yaml")
	shown := s.mustRun("", "catalogue", "show")
	if out := s.mustRun(shown, "catalogue", "apply", "-"); out != "no change against revision 2\n" {
		t.Errorf("apply of the shown file printed %q, want no change", out)
	}
	edited := strings.Replace(shown, "version: v1", "version: v2\n    move-by: 2026-12-04T09:00:00Z", 1)
	if out := s.mustRun(edited, "catalogue", "diff", "-"); !strings.Contains(out, "version: v1 -> v2") {
		t.Errorf("diff printed %q, want the version", out)
	}
	s.mustRun(edited, "catalogue", "apply", "--author", "Jana", "-")

	for _, tt := range []struct {
		name, in, want string
		lines          int
	}{
		{"conflict", strings.Replace(shown, "owner: Asha", "owner: Petr", 1), "Jana at 2026-12-04T08:00:00Z", 0},
		{"move-by in the past", strings.Replace(strings.Replace(s.mustRun("", "catalogue", "show"), "version: v2", "version: v3", 1), "2026-12-04T09", "2026-12-04T07", 1), "stdin:", 1},
		{"two errors", "colour: red\nworkspaces: [{name: x}]\n", "stdin:1: colour: unknown field", 2},
	} {
		before := s.mustRun("", "catalogue", "show")
		status, out, stderr := s.run(tt.in, "catalogue", "apply", "-")
		if status == 0 || out != "" || !strings.Contains(stderr, tt.want) || tt.lines > 0 && strings.Count(stderr, "\n") != tt.lines {
			t.Errorf("%s: exit status %d, stdout %q, stderr %q, want an error with %q", tt.name, status, out, stderr, tt.want)
		}
		if after := s.mustRun("", "catalogue", "show"); after != before {
			t.Errorf("%s: the catalogue changed to %s", tt.name, after)
		}
	}
	edited = strings.Replace(s.mustRun("", "catalogue", "show"), "class: batch", "class: interactive", 1)
	if status, _, stderr := s.run(edited, "catalogue", "apply", "--comment", "two\nlines", "-"); status == 0 || !strings.HasPrefix(stderr, "comment: ") || strings.Count(stderr, "\n") != 1 {
		t.Errorf("apply with a comment of two lines: exit status %d, stderr %q, want one error", status, stderr)
	}
	if out := s.mustRun("", "catalogue", "history"); !strings.Contains(out, "from revision 2") || !strings.Contains(out, ": first\n") {
		t.Errorf("history printed %q, want both changes", out)
	}
}

// Guards against a lost response of the store that is reported as a failure or
// that makes apply write twice, and against an outage that is reported as success.
func TestApplyUnderFaults(t *testing.T) {
	s := newShell(t)
	inject := func(f fault.Fault) {
		t.Helper()
		if err := s.fake.Inject(f); err != nil {
			t.Fatal(err)
		}
	}
	inject(fault.Fault{Kind: platform.LostResponse, Target: "kv/catalogue"})
	if out := s.mustRun(example, "catalogue", "apply", "-"); !strings.Contains(out, "applied at revision 2") {
		t.Errorf("apply with a lost answer printed %q, want revision 2", out)
	}
	if n := s.fake.Calls()["kv-put"]; n != 1 {
		t.Errorf("apply with a lost answer wrote %d times, want once", n)
	}
	shown := s.mustRun("", "catalogue", "show")
	inject(fault.Fault{Kind: platform.Outage, Target: "kv"})
	if status, out, stderr := s.run(shown, "catalogue", "apply", "-"); status != 1 || out != "" || strings.Count(stderr, "\n") != 1 {
		t.Errorf("apply in an outage: exit status %d, stdout %q, stderr %q, want one line and status 1", status, out, stderr)
	}
}

// Guards against a token in the output, and against a hash that the catalogue
// rejects.
func TestHashToken(t *testing.T) {
	s := newShell(t)
	hash := s.mustRun("0123456789abcdef\n", "catalogue", "hash-token")
	s.write("f.yaml", "workspaces: [{name: mills, owner: Asha, token-hashes: ["+strings.TrimSpace(hash)+"]}]\n")
	s.mustRun("", "catalogue", "check", "f.yaml")
	if status, out, stderr := s.run("secret\n", "catalogue", "hash-token"); status == 0 || strings.Contains(out+stderr, "secret") {
		t.Errorf("hash-token of a short token: exit status %d, output %q, want an error without the token", status, out+stderr)
	}
}

// Guards against an apply --wait that succeeds before the change is in effect on
// every instance.
func TestApplyWaitsForEveryInstance(t *testing.T) {
	s := newShell(t)
	s.startInstance("entry-1", admin.Status{Instance: "entry-1", CatalogueRevision: 1 << 40})
	if out := s.mustRun(example, "catalogue", "apply", "--wait", "-"); !strings.Contains(out, "in effect on all 1 live entry instances") {
		t.Errorf("apply --wait printed %q", out)
	}
	s.startInstance("entry-2", admin.Status{Instance: "entry-2"})
	s.register("entry-3", "127.0.0.1:1")
	status, _, stderr := s.run(s.mustRun("", "catalogue", "show"), "catalogue", "apply", "--wait", "--wait-time", "100ms", "-")
	if status != 1 || strings.Contains(stderr, "entry-1") || !strings.Contains(stderr, "entry-2: has revision 0") || !strings.Contains(stderr, "entry-3: not reached") {
		t.Errorf("apply --wait: exit status %d, stderr %q, want entry-2 and entry-3 named", status, stderr)
	}
}

// Guards against commands that omit instances because they do not answer, or moves
// because the store is unavailable.
func TestFleetCommandsWithUnavailableInstancesAndStore(t *testing.T) {
	s := newShell(t)
	s.mustRun(example, "catalogue", "apply", "-")
	edited := strings.Replace(s.mustRun("", "catalogue", "show"), "version: v1", "version: v2\n    move-by: 2026-12-04T09:00:00Z", 1)
	var id string
	for _, line := range strings.Split(s.mustRun(edited, "catalogue", "apply", "-"), "\n") {
		if strings.HasPrefix(line, "+ move ") {
			id = strings.Split(strings.TrimPrefix(line, "+ move "), ":")[0]
		}
	}
	s.startInstance("entry-1", admin.Status{
		Instance: "entry-1", FailureDomain: "brno-a", Ready: true, CatalogueRevision: 2,
		Moves: []admin.Move{{ID: id, Entry: "sack-assist", From: "v1", To: "v2", Share: 0.02, Phase: admin.PhaseRunning, Deadline: testTime.Add(time.Hour)}},
	})
	s.register("entry-2", "127.0.0.1:1")
	moves, status := s.mustRun("", "moves"), s.mustRun("", "status")
	if err := s.fake.Inject(fault.Fault{Kind: platform.Outage, Target: "kv"}); err != nil {
		t.Fatal(err)
	}
	if out := s.mustRun("", "moves"); !strings.Contains(out, "the catalogue cannot be read") || !strings.Contains(out, "sack-assist from v1 to v2 is moving; 2%") {
		t.Errorf("moves without the store printed %q, want the move", out)
	}
	s.fake.Clear()
	report := s.mustRun("", "report", "burn")
	for _, want := range []string{"0 of 2 live entry instances", "not covered: entry-1: ", "not covered: entry-2: ", "is moving; 2%"} {
		if !strings.Contains(report, want) {
			t.Errorf("report burn printed %q, want %q", report, want)
		}
	}
	for _, want := range []string{"sack-assist from v1 to v2 is moving; 2%", "entry-2 (brno-a) did not answer"} {
		if !strings.Contains(moves, want) {
			t.Errorf("moves printed %q, want %q", moves, want)
		}
	}
	for _, want := range []string{"entry-1   brno-a          2         ready", "entry-2 (brno-a) did not answer", "1 of 2 live"} {
		if !strings.Contains(status, want) {
			t.Errorf("status printed %q, want %q", status, want)
		}
	}
}

// Guards against a flag without an environment variable.
func TestFlagsHaveEnvironmentVariables(t *testing.T) {
	seen := 0
	var check func(c *flags.Command)
	check = func(c *flags.Command) {
		for _, o := range c.Options() {
			seen++
			want := "WASABIWORKS_" + strings.ToUpper(strings.ReplaceAll(o.LongName, "-", "_"))
			if o.EnvDefaultKey != want {
				t.Errorf("%s --%s has variable %q, want %q", c.Name, o.LongName, o.EnvDefaultKey, want)
			}
		}
		for _, sub := range c.Commands() {
			check(sub)
		}
	}
	check(newParser(&app{}, false).Command)
	if seen < 30 {
		t.Errorf("checked %d flags, want all of about 35", seen)
	}
}

// Guards against usage errors that print several lines or exit with status 0.
func TestUsageErrors(t *testing.T) {
	s := newShell(t)
	for _, args := range [][]string{{}, {"unknown\ncommand"}, {"catalogue", "check"}, {"catalogue", "apply", "--wait-time", "soon", "x"}, {"moves", "extra"}, {"catalogue", "check", "absent.yaml"}} {
		status, out, stderr := s.run("", args...)
		if status == 0 || out != "" || strings.Count(stderr, "\n") != 1 {
			t.Errorf("%q: exit status %d, stdout %q, stderr %q, want one line and a status other than 0", args, status, out, stderr)
		}
	}
	if status, out, _ := s.run("", "--help"); status != 0 || !strings.Contains(out, "catalogue") {
		t.Errorf("--help: exit status %d, stdout %q", status, out)
	}
}
