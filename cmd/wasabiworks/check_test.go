package main

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/metastore"
	"wasabiworks.example/wasabiworks/platform"
)

const (
	checkedConfig = `{"version":2,"routes":[{"name":"share","host":"h","path_prefix":"/s/","type":"idempotent","timeout_ms":900,"goal_ms":100,"service":"s"}],` +
		`"services":[{"name":"s"}],"tenants":[{"name":"fairs","api_keys":["secret-a"],"rate_per_s":5,"burst":9}]}`
	checkedCatalogue = "based-on: 0\nworkspaces:\n  - {name: fairs, owner: Jana, token-hashes: [2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae]}\nentries: []\n"
)

// Guards against exit statuses by which a script would send a faulty configuration or
// hold back a sound one, and against keys that are printed.
func TestCheckCommand(t *testing.T) {
	s := newShell(t)
	lower := strings.NewReplacer(`"version":2`, `"version":3`, `"rate_per_s":5`, `"rate_per_s":4`, "secret-a", "secret-b").Replace(checkedConfig)
	s.write("a.json", checkedConfig)
	s.write("lower.json", lower)
	s.write("a.yaml", checkedCatalogue)
	s.write("broken.json", `{"version":`)
	for _, tt := range []struct {
		name, in string
		args     []string
		status   int
		want     string // part of the output, or of the message
	}{
		{"clean", checkedConfig, []string{"-"}, 0, ""},
		{"clean, same version in effect", checkedConfig, []string{"--against", "a.json", "-"}, 0, ""},
		{"unknown field", strings.Replace(checkedConfig, `"version"`, `"colour":1,"version"`, 1), []string{"-"}, 1, "stdin: colour: warning: unknown field"},
		{"differences", lower, []string{"--against", "a.json", "-"}, 1, `stdin: tenants[0].rate_per_s: breaking: workspace "fairs": units a second: 5 -> 4`},
		{"version goes back", checkedConfig, []string{"--against", "lower.json", "-"}, 1, "stdin: version: error: goes back from 3 to 2"},
		{"JSON", lower, []string{"--output", "json", "--against", "a.json", "-"}, 1, `"path": "tenants[0].rate_per_s"`},
		{"rejected", strings.Replace(checkedConfig, "idempotent", "once", 1), []string{"-"}, 2, `stdin: routes[0].type: error: "once" is not valid`},
		{"not JSON", `{"version":`, []string{"-"}, 2, "stdin: decode configuration"},
		{"empty", "", []string{"-"}, 2, "stdin: decode configuration"},
		{"too large", `{"a":"` + strings.Repeat("x", platform.MaxConfigBytes) + `"}`, []string{"-"}, 2, "too large"},
		{"no such file", "", []string{"missing.json"}, 2, "missing.json"},
		{"against no JSON", checkedConfig, []string{"--against", "broken.json", "-"}, 2, "broken.json: decode configuration"},
		{"against another kind", checkedConfig, []string{"--against", "a.yaml", "-"}, 2, "different kinds"},
		{"a file takes precedence over the store", checkedConfig, []string{"--against", "a.json", "--store", "127.0.0.1:1", "-"}, 0, ""},
		{"standard input twice", checkedConfig, []string{"--against", "-", "-"}, 2, "standard input is given twice"},
		{"no store", checkedConfig, []string{"--store", "127.0.0.1:1", "-"}, 2, "read the version in effect from the store"},
		{"unknown flag", checkedConfig, []string{"--send", "-"}, 2, "send"},
		{"catalogue", checkedCatalogue, []string{"-"}, 0, ""},
		{"catalogue as JSON", `{"workspaces":[],"entries":[]}`, []string{"-"}, 0, ""},
		{"catalogue with unknown field", checkedCatalogue + "colour: 1\n", []string{"-"}, 1, "stdin:5: colour: error: unknown field"},
		{"catalogue with token", strings.Replace(checkedCatalogue, "2c26", "secret-", 1), []string{"-"}, 1, "stdin:3: workspaces[0].token-hashes[0]: error: value is not valid"},
		{"catalogue with differences", strings.Replace(checkedCatalogue, "name: fairs", "name: depots", 1), []string{"--against", "a.yaml", "-"}, 1, "stdin: breaking: - workspace fairs"},
		{"catalogue not YAML", "a: [", []string{"-"}, 2, "well-formed YAML"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			status, out, stderr := s.run(tt.in, append([]string{"check"}, tt.args...)...)
			if status != tt.status || !strings.Contains(out+stderr, tt.want) || status == 0 && out != "" {
				t.Errorf("got status %d, output %q, message %q, want status %d and %q", status, out, stderr, tt.status, tt.want)
			}
			if strings.Contains(out+stderr, "secret") {
				t.Error("a key is printed")
			}
		})
	}
}

// Guards against a documented session whose output the command does not print.
func TestDocumentedCheckRuns(t *testing.T) {
	_, blocks := readPage(t, pagesDir+"checking-a-configuration.md")
	s := newShell(t)
	want := ""
	for _, b := range blocks {
		if name, ok := strings.CutPrefix(b.info, "json "); ok {
			s.write(name, b.text)
		} else if b.info == "text" {
			want = b.text
		}
	}
	s.mustRun("", "check", "in-effect.json")
	if status, out, _ := s.run("", "check", "--against", "in-effect.json", "next.json"); status != 1 || out != want {
		t.Errorf("got status %d and\n%swant 1 and\n%s", status, out, want)
	}
}

// Guards against a check that writes to the store, or reads more than the version in
// effect.
func TestCheckReadsStoreOnce(t *testing.T) {
	s := newShell(t)
	store := metastore.New()
	store.Put(platform.ConfigKey, json.RawMessage(checkedConfig))
	server := httptest.NewServer(store)
	defer server.Close()
	next := strings.Replace(checkedConfig, `"version":2`, `"version":1`, 1)
	status, out, stderr := s.run(next, "check", "--store", strings.TrimPrefix(server.URL, "http://"), "-")
	if want := "stdin: version: error: goes back from 2 to 1"; status != 1 || !strings.HasPrefix(out, want) {
		t.Errorf("got status %d, output %q, message %q, want 1 and %q", status, out, stderr, want)
	}
	calls := 0
	for path, n := range store.Calls() {
		calls += n
		if path != "/-/kv-key" {
			t.Errorf("got %d calls of %s, want none", n, path)
		}
	}
	if calls != 1 {
		t.Errorf("got %d calls, want 1", calls)
	}
}

// Guards against a catalogue that is checked against another revision than the one in
// effect, and against limits and workspaces whose loss is not ranked first.
func TestCheckCatalogueAgainstStore(t *testing.T) {
	s := newShell(t)
	s.write("a.yaml", checkedCatalogue)
	s.mustRun("", "catalogue", "apply", "a.yaml")
	shown := s.mustRun("", "catalogue", "show")
	if out := s.mustRun(shown, "check", "--store", s.platform, "-"); out != "" {
		t.Errorf("for the catalogue in effect, got %q, want nothing", out)
	}
	next := strings.Replace(checkedCatalogue, "name: fairs", "name: depots", 1)
	status, out, _ := s.run(next, "check", "--store", s.platform, "-")
	lines := strings.Split(out, "\n")
	if status != 1 || !strings.HasPrefix(lines[0], "stdin: based-on: error: edited from revision 0") || lines[1] != "stdin: breaking: - workspace fairs" {
		t.Errorf("got status %d and %q, want 1, based-on and the workspace", status, lines)
	}
}

// Guards against input that ends the tool otherwise than by its exit statuses, or that
// prints JSON which cannot be read.
func FuzzCheckCommand(f *testing.F) {
	f.Add([]byte(checkedConfig), []byte(checkedConfig))
	f.Add([]byte(checkedCatalogue), []byte(checkedCatalogue))
	f.Add([]byte("\ufeff{}"), []byte("[]"))
	f.Add([]byte(`{"workspaces":0}`), []byte("a: &a [*a]"))
	against := f.TempDir() + "/against"
	f.Fuzz(func(t *testing.T, data, inEffect []byte) {
		if err := os.WriteFile(against, inEffect, 0o600); err != nil {
			t.Fatal(err)
		}
		for _, args := range [][]string{{"check", "-"}, {"check", "--output", "json", "--against", against, "-"}} {
			var out, stderr bytes.Buffer
			a := &app{stdin: bytes.NewReader(data), stdout: &out, stderr: &stderr, now: func() time.Time { return testTime }}
			status := run(a, args)
			if status < 0 || status > 2 || (status == 0) != (out.Len() == 0 && stderr.Len() == 0) && args[1] == "-" {
				t.Errorf("%q: got status %d, output %q, message %q", args, status, out.String(), stderr.String())
			}
			if args[1] != "-" && out.Len() > 0 && !json.Valid(out.Bytes()) {
				t.Errorf("%q: output %q is not JSON", args, out.String())
			}
		}
	})
}
