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

// Defects are the defects to simulate. The first, "good", has no effect and
// serves to count false alarms.
var Defects = []Defect{
	{Name: "good", Route: -1},
	{Name: "fails at once", FailureRate: 0.3, Route: -1},
	{Name: "fails a little", FailureRate: 0.03, Route: -1},
	{Name: "fails later", FailureRate: 0.2, Onset: 0.6, Route: -1},
	{Name: "fails after it is done", FailureRate: 0.2, Onset: 1.1, Route: -1},
	{Name: "fails under load", FailureRate: 0.3, MinLoad: 2, Route: -1},
	{Name: "fails on one route", FailureRate: 0.4, Route: 3},
	{Name: "slow at once", SlowRate: 0.4, Route: -1},
	{Name: "slow later", SlowRate: 0.3, Onset: 0.5, Route: -1},
	{Name: "slow under load", SlowRate: 0.5, MinLoad: 2, Route: -1},
}

// Summary aggregates the results of many moves.
type Summary struct {
	// Moves is the number of moves. Done counts those that were completed in
	// time and not rolled back, RolledBack those that were rolled back.
	Moves, Done, RolledBack int
	// Affected is the total of Result.Affected over all moves.
	Affected float64
	// DetectionTimes are the times of the moves that were rolled back, sorted.
	DetectionTimes []time.Duration
	// MaxLogEs are the values of Result.MaxLogE of all moves, sorted.
	MaxLogEs []float64
}

// Measure simulates moves with consecutive seeds in parallel on all processors.
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
	slices.Sort(sum.DetectionTimes)
	slices.Sort(sum.MaxLogEs)
	return sum
}

func (s *Summary) add(r Result) {
	if r.Done && !r.RolledBack {
		s.Done++
	}
	if r.RolledBack {
		s.RolledBack++
		s.DetectionTimes = append(s.DetectionTimes, r.DetectionTime)
	}
	s.Affected += r.Affected
	s.MaxLogEs = append(s.MaxLogEs, r.MaxLogE)
}

// MedianDetection returns the median time from the onset of the defect to the
// veto, or 0 if no move was rolled back.
func (s *Summary) MedianDetection() time.Duration {
	if len(s.DetectionTimes) == 0 {
		return 0
	}
	return s.DetectionTimes[len(s.DetectionTimes)/2]
}

// countLogEAtLeast returns the number of moves whose highest LogE is at least
// logE.
func (s *Summary) countLogEAtLeast(logE float64) (n int) {
	for _, e := range s.MaxLogEs {
		if e >= logE {
			n++
		}
	}
	return n
}

// goodMovesFactor is the number of moves of the good version for each move of a
// faulty one: false alarms are rare, so more moves are needed to see them.
const goodMovesFactor = 5

// Table measures the policies on each defect at each rate and writes the
// results to w as a table.
func Table(w io.Writer, policies map[string]move.Policy, rates []float64, seed uint64, moves int) error {
	fmt.Fprintf(w, "seed %d, %d moves per row and policy (%d of good versions), up to 3 reclaim waves per move\n", seed, moves, goodMovesFactor*moves)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "requests/s\tversion\tpolicy\tdone in time\trolled back\thurt per move\tmedian detection\te-value at least 20")
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, rate := range rates {
		for _, d := range Defects {
			s := Scenario{Defect: d, Rate: rate, MaxWaves: 3, FullLoadFactor: 1.3}
			for _, name := range names {
				n := moves
				if d.Name == Defects[0].Name {
					n *= goodMovesFactor
				}
				m := Measure(policies[name], s, seed, n)
				fmt.Fprintf(t, "%g\t%s\t%s\t%.1f%%\t%.1f%%\t%.1f\t%v\t%d\n", rate, d.Name, name,
					100*float64(m.Done)/float64(n), 100*float64(m.RolledBack)/float64(n), m.Affected/float64(n), m.MedianDetection(), m.countLogEAtLeast(math.Log(20)))
			}
		}
	}
	return t.Flush()
}
