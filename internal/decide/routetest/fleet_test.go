package routetest

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// unequalSpeeds are the speeds of 60 servers, from 0.55 to 1.2.
func unequalSpeeds() (speeds []float64) {
	for i := range 60 {
		speeds = append(speeds, []float64{1, 0.55, 1.05, 0.8, 1.2, 1, 0.9, 1.1, 0.7, 1}[(i+i/10)%10])
	}
	return speeds
}

func equalSpeeds() []float64 { return slices.Repeat([]float64{1}, 60) }

// sharesOf returns the requests and the prompt tokens of the servers of a speed, relative
// to those of the mean server, and their learnt speed.
func sharesOf(c FleetConfig, r FleetResult, v float64) (requests, tokens, learnt float64) {
	n, allTokens := 0.0, 0.0
	for i := range c.Speeds {
		allTokens += r.TokensByServer[i]
		if c.Speeds[i] == v {
			n++
			requests += r.ByServer[i]
			tokens += r.TokensByServer[i]
			learnt += r.Speeds[i]
		}
	}
	servers := float64(len(c.Speeds))
	return requests / n * servers / float64(r.Requests), tokens / n * servers / allTokens, learnt / n
}

// busiest returns the highest number of prompt tokens of a server, divided by its speed
// and relative to the mean.
func busiest(c FleetConfig, r FleetResult) float64 {
	most, tokens, speeds := 0.0, 0.0, 0.0
	for i, v := range c.Speeds {
		most = max(most, r.TokensByServer[i]/v)
		tokens += r.TokensByServer[i]
		speeds += v
	}
	return most / (tokens / speeds)
}

const (
	// fleetSeed is the seed of the simulations.
	fleetSeed = 1
	// maxReread is the number of prompt tokens per request that may be processed again,
	// of some 7,000 that are cached.
	maxReread = 40
)

func simulateFleet(instances int, speeds []float64, learn bool) (FleetConfig, FleetResult) {
	rate := float64(len(speeds)) / 30
	c := FleetConfig{Instances: instances, Speeds: speeds, RateFactor: rate, Length: 90, Learn: learn, Seed: fleetSeed}
	return c, SimulateFleet(c)
}

// Guards against slow servers that get the load of fast ones, and against learnt speeds
// that make instances disagree about where a prefix is cached.
func TestFleetPlacesBySpeed(t *testing.T) {
	c, without := simulateFleet(76, unequalSpeeds(), false)
	_, with := simulateFleet(76, unequalSpeeds(), true)
	before, _, _ := sharesOf(c, without, 0.55)
	after, _, learnt := sharesOf(c, with, 0.55)
	if after < 0.45 || after > 0.72 || after >= before {
		t.Errorf("servers of speed 0.55, learnt as %.2f: got %.2f of the mean load, want 0.45 to 0.72 (%.2f without speeds)", learnt, after, before)
	}
	if a, b := busiest(c, with), busiest(c, without); a >= b {
		t.Errorf("busiest server: got %.2f of the mean load with speeds and %.2f without, want less", a, b)
	}
	if with.Reread > maxReread {
		t.Errorf("got %.0f tokens per request processed again, want at most %d (%.0f without speeds)", with.Reread, maxReread, without.Reread)
	}
}

// Guards against speeds that do harm where servers are equal: a server that is the
// preferred one of popular prefixes is busier than others, and so seems slower.
func TestFleetOfEqualServers(t *testing.T) {
	c, without := simulateFleet(38, equalSpeeds()[:30], false)
	_, with := simulateFleet(38, equalSpeeds()[:30], true)
	if a, b := busiest(c, with), busiest(c, without); a > 1.02*b {
		t.Errorf("busiest server: got %.2f of the mean load with speeds and %.2f without, want no more", a, b)
	}
	if with.Reread > maxReread {
		t.Errorf("got %.0f tokens per request processed again, want at most %d (%.0f without speeds)", with.Reread, maxReread, without.Reread)
	}
	for kind := range with.OnTime {
		if with.OnTime[kind] < without.OnTime[kind]-0.001 {
			t.Errorf("kind %d: got %.4f on time with speeds, want at least %.4f", kind, with.OnTime[kind], without.OnTime[kind])
		}
	}
}

// BenchmarkFleet prints the table in docs/design/placement.md.
func BenchmarkFleet(b *testing.B) {
	for range b.N {
		for _, speeds := range [][]float64{unequalSpeeds(), equalSpeeds()} {
			for _, rate := range []float64{1, 2, 4} {
				for _, learn := range []bool{false, true} {
					printFleet(FleetConfig{Instances: 76, Speeds: speeds, RateFactor: rate, Length: 240, Learn: learn, Seed: fleetSeed})
				}
			}
		}
	}
}

// printFleet prints a line with, for servers of each of four speeds, the learnt speed, the
// requests and the prompt tokens; then the busiest server, the tokens read again, and the
// most urgent streams on time.
func printFleet(c FleetConfig) {
	r := SimulateFleet(c)
	fmt.Printf("| %.0f | %v |", c.RateFactor, c.Learn)
	for _, v := range []float64{0.55, 0.8, 1, 1.2} {
		requests, tokens, learnt := sharesOf(c, r, v)
		if math.IsNaN(requests) {
			continue // there are none
		}
		fmt.Printf(" %.2f: %.2f, %.2f |", learnt, requests, tokens)
	}
	fmt.Printf(" %.2f | %.0f | %.4f |\n", busiest(c, r), r.Reread, r.OnTime[0])
}
