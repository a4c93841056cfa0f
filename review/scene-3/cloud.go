package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// call is a call that the cloud has accepted.
type call struct {
	at      time.Time
	holder  string
	fence   int64
	subject string
	content string
}

// cloud is the platform's API for duties. It records what it gets.
type cloud struct {
	address string
	mu      sync.Mutex
	calls   []call
}

func newCloud() *cloud {
	l, err := net.Listen("tcp", freeAddress())
	check(err)
	c := &cloud{address: l.Addr().String()}
	go http.Serve(l, c)
	return c
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fence, _ := strconv.ParseInt(r.Header.Get("X-Wasabiworks-Fencing-Token"), 10, 64)
	x := call{at: time.Now(), holder: r.Header.Get("X-Wasabiworks-Duty-Holder"), fence: fence, subject: r.URL.Path, content: string(body)}
	if r.URL.Path == "/capacity" {
		var o struct {
			Service, Zone string
			Spot          bool
		}
		_ = json.Unmarshal(body, &o)
		x.subject = fmt.Sprintf("/capacity %s %s", o.Service, o.Zone)
	}
	c.mu.Lock()
	c.calls = append(c.calls, x)
	c.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

// broken returns how the calls break the rule ONE: two reports for one window with different
// counts, or a lower fence number than seen before.
func (c *cloud) broken() (faults []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	windows, fences := make(map[int64]call), make(map[string]call)
	for _, x := range c.calls {
		if last, ok := fences[x.subject]; ok && x.fence < last.fence {
			faults = append(faults, fmt.Sprintf("lower fence number: %v after %v", x, last))
		} else {
			fences[x.subject] = x
		}
		if x.subject != "/meter" {
			continue
		}
		var m struct {
			WindowID int64 `json:"window_id"`
			Counts   map[string]int64
		}
		_ = json.Unmarshal([]byte(x.content), &m)
		if first, ok := windows[m.WindowID]; ok {
			var f struct{ Counts map[string]int64 }
			_ = json.Unmarshal([]byte(first.content), &f)
			if fmt.Sprint(f.Counts) != fmt.Sprint(m.Counts) {
				faults = append(faults, fmt.Sprintf("window %d reported with %v by %s fence %d at %s, and with %v by %s fence %d at %s", m.WindowID,
					f.Counts, first.holder, first.fence, stamp(first.at), m.Counts, x.holder, x.fence, stamp(x.at)))
			}
			continue
		}
		windows[m.WindowID] = x
	}
	return faults
}
