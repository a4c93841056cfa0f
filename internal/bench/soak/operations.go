package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/worker"
)

const (
	// serverZones is the number of failure domains with servers.
	serverZones = 3
	// evacuateWithin is the time after which no request may reach a server of an
	// evacuated failure domain.
	evacuateWithin = 5 * time.Second
	// coldRate is the number of requests that a cold server of the service "plain" can
	// handle per second, and coldTime is how long a server is cold after its return.
	coldRate = 2.0
	coldTime = 4 * time.Second
	// maxColdPerSecond is the number of requests that may reach a cold server in one
	// second.
	maxColdPerSecond = coldRate*1.5 + 5
)

// evacuation is the time in which a failure domain was evacuated.
type evacuation struct {
	zone       string
	start, end time.Time
}

// injectEvacuations evacuates failure domains, one at a time, until ctx is done. It
// draws from a source of its own, so that a seed keeps its faults.
func (r *soakRun) injectEvacuations(ctx context.Context, random *rand.Rand) {
	sleep(ctx, startupTime)
	for ctx.Err() == nil {
		e := evacuation{zone: fmt.Sprint("zone-", random.IntN(serverZones))}
		r.store.Put("op/evacuate/"+e.zone, []byte("{}"))
		e.start = time.Now()
		sleep(ctx, time.Duration(1000+random.IntN(9000))*time.Millisecond)
		e.end = time.Now()
		r.store.Remove("op/evacuate/" + e.zone)
		r.mu.Lock()
		r.evacuations = append(r.evacuations, e)
		r.mu.Unlock()
		sleep(ctx, time.Duration(500+random.IntN(2000))*time.Millisecond)
	}
}

// checkEvacuations checks that no faultFree request that was sent more than
// evacuateWithin after the evacuation of a server's failure domain reached the server.
// The caller must hold r.mu.
func (r *soakRun) checkEvacuations(s *server) {
	for _, e := range r.evacuations {
		if e.zone != s.zone {
			continue
		}
		for _, a := range s.Arrivals() {
			q, ok := r.requests[a.AttemptID]
			if ok && q.faultFree && q.sent.Sub(e.start) > evacuateWithin && a.At.Before(e.end) {
				r.result.Violations = append(r.result.Violations, "request "+a.AttemptID+" reached server "+s.ID+" "+a.At.Sub(e.start).String()+" after its failure domain was evacuated")
			}
		}
	}
}

// returnCold lets the new process of a server be cold, as its entry and its responses
// say. The caller must hold r.mu.
func (s *server) returnCold() {
	s.coldUntil = append(s.coldUntil, time.Now().Add(coldTime))
	s.SetColdUntil(s.coldUntil[len(s.coldUntil)-1])
}

// coldLeft returns for how long the server stays cold.
func (s *server) coldLeft() time.Duration {
	if len(s.coldUntil) == 0 {
		return 0
	}
	return max(0, time.Until(s.coldUntil[len(s.coldUntil)-1]))
}

// checkColdReturns checks that a server got at most maxColdPerSecond requests in each
// second in which it was cold. The caller must hold r.mu.
func (r *soakRun) checkColdReturns(s *server) {
	for _, until := range s.coldUntil {
		arrivals := slices.DeleteFunc(s.Arrivals(), func(a worker.Arrival) bool {
			return a.At.Before(until.Add(-coldTime)) || a.At.After(until)
		})
		for n, a := range arrivals {
			if last := n + int(maxColdPerSecond); last < len(arrivals) && arrivals[last].At.Sub(a.At) < time.Second {
				r.result.Violations = append(r.result.Violations, fmt.Sprintf("cold server %s got more than %v requests in a second", s.ID, maxColdPerSecond))
				break
			}
		}
	}
}
