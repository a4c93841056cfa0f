package precheck_test

import (
	"strings"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/operator/precheck"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// newTable returns a table without findings, after a change of it.
func newTable(change func(*routes.Table)) *routes.Table {
	t := routes.Table{
		Version: 7,
		Routes: []routes.Route{
			{
				Name: "caption", Host: "albums.example", Prefix: "/caption/", Kind: routes.Streaming, Resumable: true,
				Timeout: 8 * time.Second, Objective: time.Second, EventGap: 250 * time.Millisecond, Attempts: 2,
				Split: newSplit(9, 1),
			},
			{
				Name: "share", Host: "albums.example", Prefix: "/", Kind: routes.NonIdempotent,
				Timeout: 2 * time.Second, Objective: time.Second, Attempts: 1, Split: []routes.Target{{Service: "plain", Weight: 1}},
			},
		},
		Services: []routes.Service{{Name: "v1", Scaling: &routes.Scaling{Min: 1, Max: 9}}, {Name: "v2"}, {Name: "plain"}},
		Workspaces: []routes.Workspace{
			{Name: "fairs", Keys: []string{"secret-a", "secret-b"}, Allowance: routes.Allowance{Rate: 100, Burst: 500, CountsTokens: true, DefaultCost: 200}},
			{Name: "depots", Keys: []string{"secret-c"}},
		},
		Limits: routes.Limits{BodyBytes: 1000},
	}
	if change != nil {
		change(&t)
	}
	return routes.New(t)
}

// newSplit returns a split of the services v1 and v2.
func newSplit(v1, v2 int) []routes.Target {
	return []routes.Target{{Service: "v1", Weight: v1}, {Service: "v2", Weight: v2}}
}

// lines formats findings one per line, in the order in which they are reported.
func lines(fs []precheck.Finding) string {
	precheck.Sort(fs)
	texts := make([]string, 0, len(fs))
	for _, f := range fs {
		f.Allowed = ""
		texts = append(texts, f.String())
	}
	return strings.Join(texts, "\n")
}

// Guards against a fault of a table that is not found, and against findings about a
// sound one.
func TestCheck(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*routes.Table)
		want   string
	}{
		{"sound", nil, ""},
		{"hidden", func(t *routes.Table) { t.Routes[1].Prefix = "/caption/" },
			`routes[1].prefix: warning: never matches: hidden by route "caption" with the same host and prefix`},
		{"equal prefix of another host", func(t *routes.Table) { t.Routes[1].Host, t.Routes[1].Prefix = "b.example", "/caption/" }, ""},
		{"prefix without slashes", func(t *routes.Table) { t.Routes[0].Prefix = "/caption" },
			`routes[0].prefix: error: "/caption" is not valid`},
		{"host with port", func(t *routes.Table) { t.Routes[0].Host = "albums.example:80" },
			"routes[0].host: warning: never matches: the port of a request is removed first"},
		{"IPv6 host", func(t *routes.Table) { t.Routes[0].Host = "[::1]" }, ""},
		{"name twice", func(t *routes.Table) { t.Routes[1].Name = "caption" }, `routes[1].name: error: "caption" is a duplicate`},
		{"timeout", func(t *routes.Table) { t.Routes[0].Timeout = 200 * time.Millisecond },
			"routes[0].objective: warning: objective of 1s is above the timeout\nroutes[0].event-gap: warning: gap of 250ms between events is above the timeout"},
		{"no timeout", func(t *routes.Table) { t.Routes[0].Timeout = 0 }, ""},
		{"retries of a stream", func(t *routes.Table) { t.Routes[0].Resumable = false },
			"routes[0].attempts: warning: 2 attempts, but the route is streaming: a request that may have run is not repeated"},
		{"retries of a request that is not idempotent", func(t *routes.Table) { t.Routes[1].Attempts = 3 },
			"routes[1].attempts: warning: 3 attempts, but the route is non-idempotent: a request that may have run is not repeated"},
		{"resumable request", func(t *routes.Table) { t.Routes[1].Resumable = true },
			"routes[1].resumable: warning: no effect on a route that is non-idempotent"},
		{"weight 0", func(t *routes.Table) { t.Routes[0].Split[1].Weight = 0 },
			`routes[0].split[1].weight: warning: service "v2" gets no requests`},
		{"no weight", func(t *routes.Table) { t.Routes[0].Split = newSplit(0, 0) },
			"routes[0].split: warning: no service has a weight above 0; all requests go to the first"},
		{"unknown services", func(t *routes.Table) { t.Services = t.Services[:1] },
			"routes[0].split[1].service: error: unknown service \"v2\"\nroutes[1].service: error: unknown service \"plain\""},
		{"scaling", func(t *routes.Table) { t.Services[0].Scaling = &routes.Scaling{Min: 3, Max: 2} },
			"services[0].scaling.min: warning: at least 3 servers are reserved, but at most 2 permitted"},
		{"no workspace", func(t *routes.Table) { t.Workspaces, t.KeysRequired = nil, true },
			"workspaces: warning: the list is empty: requests to routes that are not public are refused"},
		{"keys not required", func(t *routes.Table) { t.Workspaces = nil }, ""},
		{"no keys", func(t *routes.Table) { t.Workspaces[1].Keys = nil },
			`workspaces[1].keys: warning: never matches: workspace "depots" has no keys`},
		{"empty keys", func(t *routes.Table) { t.Workspaces[0].Keys, t.Workspaces[1].Keys = []string{""}, []string{""} },
			"workspaces[0].keys[0]: warning: never matches: the key is empty\nworkspaces[1].keys[0]: warning: never matches: the key is empty"},
		{"key twice", func(t *routes.Table) { t.Workspaces[1].Keys = []string{"secret-d", "secret-b"} },
			`workspaces[1].keys[1]: warning: same key as key 2 of workspace "fairs"; the last workspace with it counts`},
		{"burst of tokens", func(t *routes.Table) { t.Workspaces[0].Allowance.Burst = 199 },
			"workspaces[0].burst: warning: burst of 199 is below one request of 200 tokens"},
		{"burst of requests", func(t *routes.Table) { t.Workspaces[1].Allowance = routes.Allowance{Rate: 2, Burst: 0.5} },
			"workspaces[1].burst: warning: burst of 0.5 is below one request of 1 requests"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := lines(precheck.Check(newTable(tt.change))); got != tt.want {
				t.Errorf("got\n%s\nwant\n%s", got, tt.want)
			}
		})
	}
}

// Guards against differences that are missed, ranked wrongly, or that print keys.
func TestCompare(t *testing.T) {
	next := func(change func(*routes.Table)) func(*routes.Table) {
		return func(t *routes.Table) { t.Version = 8; change(t) }
	}
	for _, tt := range []struct {
		name   string
		change func(*routes.Table)
		want   string
	}{
		{"equal", nil, ""},
		{"only the version", next(func(*routes.Table) {}), ""},
		{"version goes back", func(t *routes.Table) { t.Version = 6 },
			"version: error: goes back from 7 to 6, so that instances ignore the configuration"},
		{"same version", func(t *routes.Table) { t.Routes[0].Priority = 1 },
			"version: error: 7 is in effect with other content, so that instances ignore the configuration\n" +
				`routes[0].priority: change: route "caption": priority: 0 -> 1`},
		{"route removed, a shorter prefix matches", next(func(t *routes.Table) { t.Routes = t.Routes[1:] }),
			`routes: breaking: route "caption" is removed; requests for "albums.example/caption/" go to route "share"`},
		{"route removed", next(func(t *routes.Table) { t.Routes = t.Routes[:1] }),
			`routes: breaking: route "share" is removed; requests for "albums.example/" get 404`},
		{"breaking before change", next(func(t *routes.Table) {
			t.Routes[0].Objective = 2 * time.Second
			t.Routes[1].Timeout = 1500 * time.Millisecond
		}), "routes[1].timeout: breaking: route \"share\": timeout: 2s -> 1.5s\nroutes[0].objective: change: route \"caption\": objective: 1s -> 2s"},
		{"removed before changed", next(func(t *routes.Table) {
			t.Routes[0].Public, t.Routes[0].Timeout, t.Routes = true, time.Second, t.Routes[:1]
		}), "routes: breaking: route \"share\" is removed; requests for \"albums.example/\" get 404\n" +
			"routes[0].timeout: breaking: route \"caption\": timeout: 8s -> 1s\nroutes[0].public: change: route \"caption\": open without a key: false -> true"},
		{"timeout raised to none", next(func(t *routes.Table) { t.Routes[1].Timeout = 0 }), `routes[1].timeout: change: route "share": timeout: 2s -> none`},
		{"same shares", next(func(t *routes.Table) { t.Routes[0].Split = newSplit(90, 10) }), ""},
		{"shares", next(func(t *routes.Table) { t.Routes[0].Split[1].Weight = 3 }),
			`routes[0].split: change: route "caption": services: "v1" 90%, "v2" 10% -> "v1" 75%, "v2" 25%`},
		{"services", next(func(t *routes.Table) {
			t.Services[0].Scaling, t.Services[1].Name = &routes.Scaling{Min: 1, Max: 4}, "v3"
		}),
			"services: change: service \"v2\" is removed\nservices[0].scaling.max: change: service \"v1\": maximum of servers: 9 -> 4\nservices[1]: change: service \"v3\" is added"},
		{"rate and burst lowered", next(func(t *routes.Table) { t.Workspaces[0].Allowance.Rate, t.Workspaces[0].Allowance.Burst = 50, 400 }),
			"workspaces[0].rate: breaking: workspace \"fairs\": units a second: 100 -> 50\nworkspaces[0].burst: breaking: workspace \"fairs\": burst: 500 -> 400"},
		{"no rate", next(func(t *routes.Table) { t.Workspaces[0].Allowance.Rate = 0 }),
			`workspaces[0].rate: change: workspace "fairs": units a second: 100 -> none`},
		{"key replaced", next(func(t *routes.Table) { t.Workspaces[0].Keys = []string{"secret-a", "secret-d"} }),
			"workspaces[0].keys: breaking: key 2 that workspace \"fairs\" has in effect no longer works\nworkspaces[0].keys[1]: change: workspace \"fairs\": key 2 is new"},
		{"key moved", next(func(t *routes.Table) {
			t.Workspaces[0].Keys, t.Workspaces[1].Keys = []string{"secret-a"}, []string{"secret-c", "secret-b"}
		}), "workspaces[0].keys: breaking: key 2 that workspace \"fairs\" has in effect now belongs to workspace \"depots\"\nworkspaces[1].keys[1]: change: workspace \"depots\": key 2 is new"},
		{"workspace removed", next(func(t *routes.Table) { t.Workspaces = t.Workspaces[:1] }),
			"workspaces: breaking: workspace \"depots\" is removed\nworkspaces: breaking: key 1 that workspace \"depots\" has in effect no longer works"},
		{"limit lowered", next(func(t *routes.Table) { t.Limits.BodyBytes = 10 }), "limits.body-bytes: breaking: limits: bytes of a body: 1000 -> 10"},
		{"limit given up", next(func(t *routes.Table) { t.Limits.BodyBytes = 0 }), "limits.body-bytes: breaking: limits: bytes of a body: 1000 -> default"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := lines(precheck.Compare(newTable(nil), newTable(tt.change)))
			if got != tt.want {
				t.Errorf("got\n%s\nwant\n%s", got, tt.want)
			}
			if strings.Contains(got, "secret-") {
				t.Error("a key is printed")
			}
		})
	}
}

// Guards against differences that do not exist where a key selects one of several
// workspaces that have it.
func TestTableDoesNotDifferFromItself(t *testing.T) {
	table := newTable(func(t *routes.Table) {
		t.Workspaces[0].Keys, t.Workspaces[1].Keys = []string{"", "secret-a", "secret-b"}, []string{"secret-b", "", "secret-b"}
	})
	if got := precheck.Compare(table, table); len(got) > 0 {
		t.Errorf("got %v, want none", got)
	}
}
