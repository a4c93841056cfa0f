package engine

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against a fast path whose result differs from that of encoding/json.
func TestParseFrameMatchesEncodingJSON(t *testing.T) {
	check := func(t interface{ Fatalf(string, ...any) }, line string) {
		var got, want Frame
		gotErr, wantErr := parseFrame([]byte(line), "a-1", &got), json.Unmarshal([]byte(line), &want)
		if (gotErr == nil) != (wantErr == nil) || wantErr == nil && !cmp.Equal(got, want) {
			t.Fatalf("frame %q: got %+v (%v), want %+v (%v)", line, got, gotErr, want, wantErr)
		}
	}
	for _, line := range []string{
		`{"attempt":"a-1","index":0,"token":"x "}`, `{ "token" : "é" , "index" : 12 }` + "\r\n", `{"index":01}`, `{"index":-1}`, `{"index":1.5}`,
		`{"index":99999999999999999999}`, `{"token":"\u00e9\n"}`, "{\"token\":\"\xff\"}", `{"finish":"stop","usage":{"prompt":1}}`, `{}`, `{"index":1} x`,
		`{"index":1,}`, `{"token":"a`, ``, `[]`, `{"other":"x"}`, `{"TOKEN":"x"}`, `{"usage":null}`, `{"token":null}`,
	} {
		check(t, line)
	}
	rapid.Check(t, func(rt *rapid.T) {
		f := Frame{Attempt: rapid.SampledFrom([]string{"a-1", "b", ""}).Draw(rt, "attempt"), Index: rapid.IntRange(-1, 1<<40).Draw(rt, "index"), Token: rapid.String().Draw(rt, "token")}
		line, err := json.Marshal(f)
		if err != nil {
			rt.Fatalf("encoding %+v: %v", f, err)
		}
		check(rt, string(line))
		cut := rapid.IntRange(0, len(line)).Draw(rt, "cut")
		check(rt, string(line[:cut])+rapid.StringOf(rapid.RuneFrom([]rune(`"\{}:,0 `))).Draw(rt, "garbage"))
	})
}

func BenchmarkParseFrame(b *testing.B) {
	line := []byte(fmt.Sprintf(`{"attempt":%q,"index":123,"token":"vudigo "}`, "n1-1-abc"))
	var f Frame
	b.ReportAllocs()
	for b.Loop() {
		if err := parseFrame(line, "n1-1-abc", &f); err != nil {
			b.Fatal(err)
		}
	}
}
