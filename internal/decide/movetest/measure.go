package movetest

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/move"
)

// Defects are the faulty versions that are measured; the first is a good one.
var Defects = []Defect{
	{Name: "good", Route: -1},
	{Name: "fails at once", Fail: 0.3, Route: -1},
	{Name: "fails a little", Fail: 0.03, Route: -1},
	{Name: "fails later", Fail: 0.2, From: 0.6, Route: -1},
	{Name: "fails after it is done", Fail: 0.2, From: 1.1, Route: -1},
	{Name: "fails under load", Fail: 0.3, Under: 2, Route: -1},
	{Name: "fails on one route", Fail: 0.4, Route: 3},
	{Name: "slow at once", Slow: 0.4, Route: -1},
	{Name: "slow later", Slow: 0.3, From: 0.5, Route: -1},
	{Name: "slow under load", Slow: 0.5, Under: 2, Route: -1},
}

// Summary counts the results of many moves.
type Summary struct {
	Moves, Done, RolledBack int
	Hurt                    float64
	Detected                []time.Duration
	LogE                    []float64
}

// Measure simulates moves with consecutive seeds on all processors.
func Measure(p move.Policy, s Scenario, seed uint64, moves int) Summary {
	results := make([]Result, moves)
	var wg sync.WaitGroup
	next := make(chan int)
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := range next {
				results[i] = Simulate(p, s, seed+uint64(i))
			}
		})
	}
	for i := range moves {
		next <- i
	}
	close(next)
	wg.Wait()
	sum := Summary{Moves: moves}
	for _, r := range results {
		sum.add(r)
	}
	slices.Sort(sum.Detected)
	slices.Sort(sum.LogE)
	return sum
}

func (s *Summary) add(r Result) {
	if r.Done && !r.RolledBack {
		s.Done++
	}
	if r.RolledBack {
		s.RolledBack++
		s.Detected = append(s.Detected, r.Detected)
	}
	s.Hurt += r.Hurt
	s.LogE = append(s.LogE, r.LogE)
}

// Median returns the median time from the defect's start to the veto.
func (s *Summary) Median() time.Duration {
	if len(s.Detected) == 0 {
		return 0
	}
	return s.Detected[len(s.Detected)/2]
}

func (s *Summary) atLeast(logE float64) (n int) {
	for _, e := range s.LogE {
		if e >= logE {
			n++
		}
	}
	return n
}

// goodTimes is the number of good versions to one faulty version of a kind, as
// false alarms are rare.
const goodTimes = 5

// Table measures policies on each defect at each rate and writes a table.
func Table(w io.Writer, policies map[string]move.Policy, rates []float64, seed uint64, moves int) error {
	fmt.Fprintf(w, "seed %d, %d moves per row and policy (%d of good versions), up to 3 reclaim waves per move\n", seed, moves, goodTimes*moves)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "requests/s\tversion\tpolicy\tdone in time\trolled back\thurt per move\tmedian detection\te-value at least 20")
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, rate := range rates {
		for _, d := range Defects {
			s := Scenario{Defect: d, Rate: rate, Waves: 3, Busier: 1.3}
			for _, name := range names {
				n := moves
				if d.Name == Defects[0].Name {
					n *= goodTimes
				}
				m := Measure(policies[name], s, seed, n)
				fmt.Fprintf(t, "%g\t%s\t%s\t%.1f%%\t%.1f%%\t%.1f\t%v\t%d\n", rate, d.Name, name,
					100*float64(m.Done)/float64(n), 100*float64(m.RolledBack)/float64(n), m.Hurt/float64(n), m.Median(), m.atLeast(math.Log(20)))
			}
		}
	}
	return t.Flush()
}
