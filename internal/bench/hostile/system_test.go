package hostile

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/metastore"
)

// system is an instance under test with what it needs around it.
type system struct {
	*process
	// clients, peers, ready and operations are the addresses of its listeners; ready is
	// empty if the program has no listener of its own for readiness.
	clients, peers, ready, operations string
	// requestHead is the head of an ordinary request without its last empty line and
	// without the length of a body, streamHead that of a request for a stream, and
	// largeHead that of a request whose response is large, if the program has one.
	requestHead, streamHead, largeHead string
	// maxBody is the size of the largest legal body, in bytes.
	maxBody int
}

const (
	token         = "token-of-fairs"
	serviceEntry  = "kalendar-app"
	languageEntry = "stetec-ai"
	// slots are the requests that a backend server runs at once.
	slots = 8
	// eventBytes, largeBytes and ordinaryBytes are the sizes of an event, of a large
	// response and of an ordinary one, in bytes.
	eventBytes, largeBytes, ordinaryBytes = 64 << 10, 3 << 20, 64 << 10
)

// backend answers requests at the paths of startForward's routes.
func backend(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Wasabiworks-Attempt-Id", r.Header.Get("X-Wasabiworks-Attempt-Id"))
	w.Header().Set("X-Wasabiworks-Server-Seal", "seal")
	switch {
	case strings.HasPrefix(r.URL.Path, "/draft/short"):
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	case strings.HasPrefix(r.URL.Path, "/draft/"):
		w.Header().Set("Content-Type", "text/event-stream")
		data := strings.Repeat("x", eventBytes)
		for n := 1; r.Context().Err() == nil; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data); err != nil {
				return
			}
		}
	case strings.HasPrefix(r.URL.Path, "/read/large"):
		_, _ = io.WriteString(w, strings.Repeat("y", largeBytes))
	default:
		_, _ = io.WriteString(w, strings.Repeat("y", ordinaryBytes))
	}
}

// startForward starts wasabiworks forward with a store and a backend server of each of two
// services.
func startForward(t *testing.T) *system {
	t.Helper()
	store := metastore.New()
	storeServer, cloud := httptest.NewServer(store), httptest.NewServer(metastore.NewCloud())
	t.Cleanup(storeServer.Close)
	t.Cleanup(cloud.Close)
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "app.example", "path_prefix": "/" + name + "/", "type": kind, "timeout_ms": 60_000,
			"goal_ms": 800, "gap_aim_ms": 400, "service": service, "attempts": 1,
		}
	}
	store.Put("op/config", map[string]any{
		"version":  1,
		"routes":   []any{route("read", "idempotent", "plain"), route("draft", "streaming", "model")},
		"services": []any{map[string]any{"name": "plain", "health_path": "/healthz", "max_conns": 100}, map[string]any{"name": "model", "health_path": "/healthz", "max_conns": 100}},
		"tenants":  []any{map[string]any{"name": "fairs", "api_keys": []string{token}}},
		"limits":   map[string]any{"max_header_bytes": 16_384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
	})
	for _, service := range []string{"plain", "model"} {
		server := httptest.NewServer(http.HandlerFunc(backend))
		t.Cleanup(server.CloseClientConnections)
		store.Put("servers/"+service+"-0", map[string]any{
			"service": service, "address": server.Listener.Addr().String(), "zone": "zone-0", "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
		})
	}
	s := &system{clients: freeAddress(t), peers: freeAddress(t), ready: freeAddress(t), operations: freeAddress(t), maxBody: 4 << 20}
	s.requestHead, s.streamHead, s.largeHead = s.head("/read/1"), s.head("/draft/endless"), s.head("/read/large")
	s.process = start(t, true, "wasabiworks", "forward", "--instance", "i0", "--failure-domain", "zone-0", "--client-address", s.clients, "--ready-address", s.ready,
		"--peer-address", s.peers, "--operations-address", s.operations, "--store", storeServer.Listener.Addr().String(), "--cloud", cloud.Listener.Addr().String())
	await(t, "wait for the first response", s.ordinary)
	return s
}

// head returns the head of a request to forward.
func (s *system) head(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: app.example\r\nX-Wasabiworks-Key: " + token + "\r\n"
}

const catalogue = `based-on: 0
workspaces:
  - name: fairs
    owner: Jana
    token-hashes: [%s]
entries:
  - name: %s
    owner: Jana
    kind: service
    class: interactive
    version: "1"
    objective: {first-token: 500ms, success: 0.999}
  - name: %s
    owner: Jana
    kind: language
    class: interactive
    version: "1"
    objective: {first-token: 1.2s, between-tokens: 41ms, success: 0.99}
`

// startServe starts wasabiworks serve with the stand-ins of the platform, of a service and
// of an engine.
func startServe(t *testing.T) *system {
	t.Helper()
	platform := freeAddress(t)
	start(t, false, "standin", "platform", "--listen", platform, "--list-lag", "50ms")
	await(t, "wait for the platform", func() error { return expectOK("http://" + platform + "/calls") })
	start(t, false, "standin", "service", "--id", "service-0", "--entry", serviceEntry, "--listen", freeAddress(t), "--platform", platform, "--region", "morava", "--failure-domain", "brno-a")
	start(t, false, "standin", "engine", "--id", "engine-0", "--entry", languageEntry, "--slots", strconv.Itoa(slots), "--listen", freeAddress(t), "--platform", platform,
		"--region", "morava", "--failure-domain", "brno-a", "--version", "1", "--between-tokens", "1ms")
	sum := sha256.Sum256([]byte(token))
	file := filepath.Join(t.TempDir(), "catalogue.yaml")
	if err := os.WriteFile(file, []byte(fmt.Sprintf(catalogue, hex.EncodeToString(sum[:]), serviceEntry, languageEntry)), 0o600); err != nil {
		t.Fatal(err)
	}
	apply := exec.Command(filepath.Join(programs, "wasabiworks"), "catalogue", "apply", "--platform", platform, "--author", "jana", file)
	if out, err := apply.CombinedOutput(); err != nil {
		t.Fatalf("apply the catalogue: %v\n%s", err, out)
	}
	s := &system{clients: freeAddress(t), peers: freeAddress(t), operations: freeAddress(t), maxBody: 1 << 20}
	authorization := "Host: app.example\r\nAuthorization: Bearer " + token + "\r\n"
	s.requestHead = "POST /v1/services/" + serviceEntry + "/bookings HTTP/1.1\r\nIdempotency-Key: hostile\r\n" + authorization
	s.largeHead = "GET /absent HTTP/1.1\r\n" + authorization
	s.streamHead = "POST /v1/completions HTTP/1.1\r\nContent-Type: application/json\r\n" + authorization
	s.process = start(t, true, "wasabiworks", "serve", "--instance", "i0", "--region", "morava", "--failure-domain", "brno-a",
		"--client-address", s.clients, "--peer-address", s.peers, "--operations-address", s.operations, "--platform", platform)
	await(t, "wait for the first response", s.booking)
	return s
}

// ordinary sends an ordinary request to forward, over a new connection, and returns an
// error unless the complete response comes.
func (s *system) ordinary() error {
	return s.request("http://"+s.clients+"/read/1", "X-Wasabiworks-Key", token, strings.Repeat("z", 1000), ordinaryBytes)
}

// shortStream sends a request for a short stream to forward.
func (s *system) shortStream() error {
	return s.request("http://"+s.clients+"/draft/short", "X-Wasabiworks-Key", token, "", 1)
}

// booking sends an ordinary request for a plain service to serve.
func (s *system) booking() error {
	return s.request("http://"+s.clients+"/v1/services/"+serviceEntry+"/bookings", "Authorization", "Bearer "+token, `{"slot":1}`, 1)
}

// completion sends an ordinary request for a completion to serve.
func (s *system) completion() error {
	return s.request("http://"+s.clients+"/v1/completions", "Authorization", "Bearer "+token, `{"model":"`+languageEntry+`","prompt":"tiger","max_tokens":4}`, 1)
}

// requestTimeout bounds one ordinary request.
const requestTimeout = 5 * time.Second

// requests numbers the requests, so that none is answered from the journal.
var requests atomic.Int64

// request sends a request and returns an error unless the response has at least size bytes.
func (s *system) request(url, header, value, body string, size int) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	q.Host, q.Close = "app.example", true
	q.Header.Set(header, value)
	q.Header.Set("Idempotency-Key", fmt.Sprint("ordinary-", requests.Add(1)))
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		return err
	case r.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: %.200s", r.Status, data)
	case len(data) < size:
		return errors.New("the response is too short")
	}
	return nil
}
