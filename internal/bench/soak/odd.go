package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"
)

// oddFields replace a field of a server's entry by one that no server writes. The
// value is JSON.
var oddFields = []struct{ name, value string }{
	{"address", `"10.0.0.1:70000"`},
	{"address", `"10.0.0.1:0"`},
	{"address", `"10.0.0.1"`},
	{"address", `{"port":80}`},
	{"slots", `1e999`},
	{"slots", `-8`},
	{"slots", `9000000000000000000`},
	{"slots", `null`},
	{"born", `99999999999999999999`},
	{"born", `1.5`},
	{"seq", `1e999`},
	{"seq", `null`},
	{"cold_left_ms", `null`},
	{"born", `null`},
	{"state", `"odd"`},
	{"service", `null`},
	{"service", `["plain"]`},
	{"version", strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)},
}

// oddValues are whole values of entries that no server writes.
var oddValues = [][]byte{
	nil,
	[]byte("null"),
	[]byte(`{"service":`),
	[]byte("\xff\xfe\x00"),
	bytes.Repeat([]byte("["), 1<<20), // the largest value that the store takes
}

// oddEntry returns a random entry that names no server. Some name the address of s.
func (r *soakRun) oddEntry(s *server) []byte {
	n := r.random.IntN(len(oddFields) + len(oddValues))
	if n >= len(oddFields) {
		return oddValues[n-len(oddFields)]
	}
	r.mu.Lock()
	entry := s.entry("ready")
	r.mu.Unlock()
	entry[oddFields[n].name] = json.RawMessage(`"REPLACED"`)
	value, err := json.Marshal(entry)
	if err != nil {
		return nil // an empty entry is odd as well
	}
	// json.Marshal would reject some of the values.
	return bytes.Replace(value, []byte(`"REPLACED"`), []byte(oddFields[n].value), 1)
}

// addOddEntry adds an odd entry among those of the servers for d or until ctx is
// done.
func (r *soakRun) addOddEntry(ctx context.Context, s *server, d time.Duration) {
	key := "servers/" + []string{"odd", "odd/entry", "plain-0/odd", "odd entry"}[r.random.IntN(4)]
	r.store.Put(key, r.oddEntry(s))
	r.undoAfter(ctx, d, func() { r.store.Remove(key) })
}
