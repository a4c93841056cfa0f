package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"wasabiworks.example/wasabiworks/internal/bench/metastore"
	"wasabiworks.example/wasabiworks/internal/operator/burn"
	"wasabiworks.example/wasabiworks/platform"
)

// Guards against a burn report of forwarding instances that omits instances or
// routes, or that counts an instance that does not answer as one without failures.
func TestReportForward(t *testing.T) {
	now := testTime
	registry := prometheus.NewRegistry()
	metrics, err := burn.New(burn.Config{Registry: registry, Now: func() time.Time { return now }})
	if err != nil {
		t.Fatal(err)
	}
	metrics.Sample()
	now = now.Add(time.Hour)
	for range 90 {
		metrics.AddResult("draft", "fairs", burn.Good)
	}
	for range 10 {
		metrics.AddResult("draft", "fairs", burn.Failed)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	instance := httptest.NewServer(mux)
	defer instance.Close()
	store := metastore.New()
	store.Put(platform.ConfigKey, []byte(`{"version":1,"routes":[{"name":"draft","host":"h","path_prefix":"/d/","type":"streaming","goal_ms":800,"service":"s"}]}`))
	store.Put("wasabiworks/instances/a", map[string]any{"id": "a", "peer-address": "127.0.0.1:2", "operations-address": strings.TrimPrefix(instance.URL, "http://")})
	store.Put("wasabiworks/instances/b", map[string]any{"id": "b", "peer-address": "127.0.0.1:3", "operations-address": "127.0.0.1:1"})
	server := httptest.NewServer(store)
	defer server.Close()
	var out, stderr bytes.Buffer
	a := &app{stdout: &out, stderr: &stderr, now: func() time.Time { return now }}
	if status := run(a, []string{"report", "forward", "--store", strings.TrimPrefix(server.URL, "http://"), "--success", "0.9", "--format", "json"}); status != 0 {
		t.Fatalf("exit status %d: %s", status, stderr.String())
	}
	var r burn.Report
	if err := json.Unmarshal(out.Bytes(), &r); err != nil {
		t.Fatal(err)
	}
	if r.Instances != 2 || r.Reporting != 1 || len(r.Silent) != 1 || r.Silent[0].Instance != "b" {
		t.Errorf("got %d of %d instances and %v silent, want 1 of 2 and b", r.Reporting, r.Instances, r.Silent)
	}
	for _, row := range r.Rows {
		if row.Entry != "draft" || row.Good != 90 || row.Failed != 10 || row.Objective != 0.9 || row.BudgetLeft > 1e-9 || row.BudgetLeft < -1e-9 {
			t.Errorf("got row %+v, want 90 good and 10 failed of route draft, and no budget left", row)
		}
	}
	if len(r.Rows) != 2 {
		t.Errorf("got %d rows, want one for the route and one for its workspace", len(r.Rows))
	}
	if status := run(a, []string{"report", "forward", "--store", "127.0.0.1:1", "--success", "1"}); status == 0 {
		t.Error("success of 1: got exit status 0")
	}
}
