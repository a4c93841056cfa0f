package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// exhausted admits no use before a time has passed.
type exhausted time.Duration

func (e exhausted) Take(context.Context, *routes.Workspace, limit.Use) limit.Admission {
	return limit.Admission{RetryAfter: time.Duration(e)}
}

// Guards against clients of a workspace over its allowance that return together, sooner
// than their requests can be admitted, or only after a third of the time that they have.
func TestRetryAfterOfAllowances(t *testing.T) {
	table := routes.New(routes.Table{
		Routes: []routes.Route{{
			Name: "book", Host: "app.example", Prefix: "/book/", Kind: routes.NonIdempotent, Timeout: 12 * time.Second, Objective: time.Second,
			Split: []routes.Target{{Service: "service", Weight: 1}}, Attempts: 1,
		}},
		Workspaces: []routes.Workspace{{Name: "fairs", Keys: []string{"key"}}},
	})
	for _, tt := range []struct {
		name        string
		wait        time.Duration
		least, most float64 // seconds
	}{{"soon", 500 * time.Millisecond, 0.5, 2.5}, {"late", time.Minute, 3, 4}} {
		t.Run(tt.name, func(t *testing.T) {
			f := newForwarderWith(t, func(c *Config) {
				c.View = func() View { return View{Table: table, Confirmed: time.Now(), Fresh: true} }
				c.Allowances, c.Random = exhausted(tt.wait), rand.Uint64
			}, 1000, time.Second)
			different := make(map[string]bool)
			for n := range 20 {
				r := callWithKey(t, f, "/book/", strconv.Itoa(n), "key")
				value := r.header.Get("Retry-After")
				seconds, err := strconv.ParseFloat(value, 64)
				if err != nil || r.status != http.StatusTooManyRequests || seconds < tt.least || seconds > tt.most {
					t.Fatalf("got status %d with Retry-After %q, want 429 with %v to %v s", r.status, value, tt.least, tt.most)
				}
				different[value] = true
			}
			if len(different) < 10 {
				t.Errorf("20 refusals have %d different times", len(different))
			}
		})
	}
}
