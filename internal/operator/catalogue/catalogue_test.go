package catalogue

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func parseGoodFile(t testing.TB) *File {
	t.Helper()
	data, err := os.ReadFile("testdata/good.yaml")
	if err != nil {
		t.Fatal(err)
	}
	f, err := ParseFile("good.yaml", data)
	if err != nil {
		t.Fatalf("ParseFile(good.yaml) = %v, want no error", err)
	}
	return f
}

// Guards against a parser that stops at the first error, or that reports errors
// without the line or the allowed values.
func TestParseReportsAllErrors(t *testing.T) {
	data, err := os.ReadFile("testdata/bad.yaml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse("bad.yaml", data)
	if c != nil || err == nil {
		t.Fatalf("Parse(bad.yaml) = %v, %v, want an error", c, err)
	}
	goldie.New(t).Assert(t, "bad", []byte(err.Error()+"\n"))
}

// Guards against files that exhaust memory or the stack, such as a small file
// whose aliases expand to many values or form a cycle, and against malformed YAML
// that is not reported with the file name in front.
func TestParseRejectsOversizeAndMalformedFiles(t *testing.T) {
	var bomb strings.Builder
	bomb.WriteString("workspaces:\n- token-hashes: &t [" + strings.Repeat("x,", 600) + "]\n")
	bomb.WriteString(strings.Repeat("- token-hashes: *t\n", 600))
	tests := []struct{ name, data, want string }{
		{"empty", "", "file is empty"},
		{"comment only", "# nothing\n", "file is empty"},
		{"too large", strings.Repeat("#", maxFileBytes+1), "at most 1048576 bytes"},
		{"too deep", "workspaces: " + strings.Repeat("[", 40) + strings.Repeat("]", 40), "at most 16 levels"},
		{"too many values", bomb.String(), "at most 200000"},
		{"alias cycle", "workspaces: &a [*a]", "a mapping with name"},
		{"two documents", "entries: []\n---\nentries: []\n", "one document"},
		{"malformed", "entries: [\n", "well-formed YAML"},
		{"list for a mapping", "- a\n", "a mapping with based-on"},
	}
	for _, tt := range tests {
		_, err := Parse("f.yaml", []byte(tt.data))
		if err == nil || !strings.Contains(err.Error(), tt.want) || !strings.HasPrefix(err.Error(), "f.yaml:") {
			t.Errorf("Parse(%s) = %.200v, want an error with %q", tt.name, err, tt.want)
		}
	}
}

// Guards against an encoding that depends on the order of workspaces or on whether
// an empty list is nil, or that Decode does not preserve, so that equal catalogues
// differ. Also guards against Encode modifying its argument.
func TestEncodeIsCanonical(t *testing.T) {
	is := is.New(t)
	c := parseGoodFile(t).Catalogue
	want, err := Encode(c)
	is.NoErr(err)
	c.Workspaces[0], c.Workspaces[1] = c.Workspaces[1], c.Workspaces[0]
	first := c.Workspaces[0].Name
	c.Entries[0].Limits = []Limit{}
	got, err := Encode(c)
	is.NoErr(err)
	is.Equal(string(got), string(want))
	is.Equal(c.Workspaces[0].Name, first) // Encode sorts a copy
	back, err := Decode(got)
	is.NoErr(err)
	again, err := Encode(back)
	is.NoErr(err)
	is.Equal(string(again), string(want))
}

// Guards against an instance accepting a catalogue that Parse would reject, and
// against an encoding that exceeds the size limit of the store.
func TestEncodeAndDecodeRejectInvalidCatalogues(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Catalogue)
		want   string
	}{
		{"unknown workspace", func(c *Catalogue) { c.Entries[1].Limits[0].Workspace = "x" }, "is not a workspace"},
		{"two moves of an entry", func(c *Catalogue) {
			m := Move{ID: "a", Entry: "sack-assist", From: "v0", To: "v1", Start: start, Deadline: start, KeepUntil: start}
			n := m
			n.ID = "b"
			c.Moves = []Move{m, n}
		}, "duplicate"},
		{"move to another version", func(c *Catalogue) {
			c.Moves = []Move{{ID: "a", Entry: "sack-assist", From: "v0", To: "v9", Start: start, Deadline: start, KeepUntil: start}}
		}, "the version of the entry"},
		{"history too long", func(c *Catalogue) { c.History = make([]Change, maxHistory+1) }, "at most 50"},
		{"too large", func(c *Catalogue) {
			for i := range c.Entries {
				c.Entries[i].Repeatable = nil
			}
			c.Entries[1].Limits = nil
			c.Workspaces = nil
			for i := range maxWorkspaces {
				// Each quote takes two bytes when encoded.
				hash, _ := HashToken(fmt.Sprintf("token-number-%06d", i))
				w := Workspace{Name: fmt.Sprintf("w%d", i), Owner: strings.Repeat(`"`, maxTextRunes), TokenHashes: []string{hash, strings.Repeat("0", 56) + hash[:8]}}
				c.Workspaces = append(c.Workspaces, w)
			}
		}, "under 1048576"},
	}
	for _, tt := range tests {
		c := clone(parseGoodFile(t).Catalogue)
		tt.change(c)
		if _, err := Encode(c); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("Encode(%s) = %.200v, want an error with %q", tt.name, err, tt.want)
		}
	}
	data, err := Encode(parseGoodFile(t).Catalogue)
	if err != nil {
		t.Fatal(err)
	}
	broken := bytes.Replace(data, []byte(`"workspace":"mills"`), []byte(`"workspace":"other"`), 1)
	if _, err := Decode(broken); err == nil || !strings.Contains(err.Error(), "is not a workspace") {
		t.Errorf("Decode(unknown workspace) = %v, want an error", err)
	}
}

// Guards against Format output that cannot be applied again, or that parses to a
// different catalogue or revision.
func TestParseFileReadsFormatOutput(t *testing.T) {
	f := parseGoodFile(t)
	f.Catalogue.Entries[0].MoveBy = start.Add(time.Hour)
	text, err := Format(NewSnapshot(42, f.Catalogue))
	if err != nil {
		t.Fatal(err)
	}
	back, err := ParseFile("shown.yaml", text)
	if err != nil {
		t.Fatalf("ParseFile(%s) = %v", text, err)
	}
	if diff := cmp.Diff(f.Catalogue, back.Catalogue); diff != "" || back.BasedOn != 42 {
		t.Errorf("after Format and ParseFile, revision %d, catalogue differs:\n%s", back.BasedOn, diff)
	}
}

// Guards against accepting tokens that are too long, contain a space or are short
// enough to be recovered from their hash.
func TestHashTokenRejectsInvalidTokens(t *testing.T) {
	for token, ok := range map[string]bool{"": false, "short": false, "0123456789abcdef": true, "0123456789 abcdef": false, strings.Repeat("x", 513): false} {
		hash, err := HashToken(token)
		if (err == nil) != ok || ok && !hashPattern.MatchString(hash) {
			t.Errorf("HashToken(%q) = %q, %v, want accepted: %v", token, hash, err, ok)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"testdata/good.yaml", "testdata/bad.yaml"} {
		data, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("workspaces: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := ParseFile("f.yaml", data)
		if err != nil {
			return
		}
		encoded, ok := encode(t, file.Catalogue, len(data))
		if !ok {
			return
		}
		checkRoundTrip(t, encoded)
		text, err := Format(NewSnapshot(file.BasedOn, file.Catalogue))
		if err != nil {
			t.Fatal(err)
		}
		shown, err := ParseFile("f.yaml", text)
		if err != nil {
			t.Fatalf("ParseFile after Format(%q) = %v", data, err)
		}
		if diff := cmp.Diff(file.Catalogue, shown.Catalogue); diff != "" {
			t.Fatalf("Format(%q) changes the catalogue:\n%s", data, diff)
		}
	})
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(parseGoodFile(f).Catalogue)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode(data)
		if err != nil {
			return
		}
		encoded, ok := encode(t, c, len(data))
		if !ok {
			return
		}
		checkRoundTrip(t, encoded)
		NewSnapshot(1, c)
	})
}

// encode encodes a catalogue that was read from size bytes. It fails the test on
// an error, unless the input is large enough that aliases or escaping can have
// enlarged the catalogue beyond the size limit.
func encode(t *testing.T, c *Catalogue, size int) (data []byte, ok bool) {
	t.Helper()
	data, err := Encode(c)
	if err != nil && (size < 10_000 || !strings.Contains(err.Error(), "bytes encoded")) {
		t.Fatalf("Encode after %d bytes = %v", size, err)
	}
	return data, err == nil
}

// checkRoundTrip checks that decoding data and encoding the result gives data.
func checkRoundTrip(t *testing.T, data []byte) {
	t.Helper()
	c, err := Decode(data)
	if err != nil {
		t.Fatalf("Decode(%s) = %v", data, err)
	}
	again, err := Encode(c)
	if err != nil || !bytes.Equal(again, data) {
		t.Fatalf("Encode(Decode(x)) = %s, %v, want %s", again, err, data)
	}
}

// BenchmarkDecode decodes a catalogue of 60 entries with limits for each of 50
// workspaces. Every instance decodes the catalogue on each change.
func BenchmarkDecode(b *testing.B) {
	c := &Catalogue{}
	for i := range 50 {
		hash, _ := HashToken(fmt.Sprintf("token-number-%06d", i))
		c.Workspaces = append(c.Workspaces, Workspace{Name: fmt.Sprintf("w%d", i), Owner: "Asha", TokenHashes: []string{hash}})
	}
	for i := range 60 {
		e := parseGoodFile(b).Catalogue.Entries[1]
		e.Name, e.Limits = fmt.Sprintf("e%d", i), nil
		for _, w := range c.Workspaces {
			e.Limits = append(e.Limits, Limit{Workspace: w.Name, RequestsPerSecond: 10, Concurrent: 20})
		}
		c.Entries = append(c.Entries, e)
	}
	data, err := Encode(c)
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
