package limittest

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
)

const (
	// instances is the number of entry instances, to which requests are sent at
	// random.
	instances = 9
	// slots is the number of requests that the backend servers run at a time.
	slots = 320
	// meanService is the mean service time of a request in seconds.
	meanService = 2.0
	// maxWait is the wait in seconds after which a response is useless.
	maxWait = 1.2
	// duration is the simulated time in seconds.
	duration = 300.0
	// Each of the smallWorkspaces sends load equal to smallShare of the capacity.
	// The large workspace sends the rest of the load, batchShare of it as batch.
	smallWorkspaces = 4
	smallShare      = 0.04
	batchShare      = 0.3
)

// Result summarizes how a group of requests was served.
type Result struct {
	// Offered counts the requests sent, Rejected those of them that were not
	// admitted, and InTime those that started after a wait of at most maxWait.
	Offered, Rejected, InTime int
	waits                     []float64
}

// WaitP95 returns the 95th percentile of the waits of admitted requests in
// seconds.
func (r *Result) WaitP95() float64 {
	if len(r.waits) == 0 {
		return 0
	}
	slices.Sort(r.waits)
	return r.waits[len(r.waits)*95/100]
}

// Results holds the results by group of requests.
type Results struct{ Small, Large, Batch Result }

// Goodput returns the number of responses after a wait of at most maxWait, as a
// fraction of the capacity.
func (r *Results) Goodput() float64 {
	return float64(r.Small.InTime+r.Large.InTime+r.Batch.InTime) / (slots / meanService * duration)
}

// completion is the end of an admitted request, or the time at which a slot
// becomes free.
type completion struct {
	at        float64
	instance  int
	workspace string
}

type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// Simulate sends load times the capacity. If shed is true, each instance has a
// Shedder that is set to its part of the capacity.
func Simulate(load float64, shed bool, seed uint64) *Results {
	r := rand.New(rand.NewPCG(seed, 3))
	var shedders [instances]limit.Shedder
	if shed {
		for i := range shedders {
			shedders[i].SetCapacity(slots / float64(instances))
		}
	}
	// admitted holds the requests that have not ended, and free the times at
	// which the slots become free. Requests start in order of arrival.
	var admitted completions
	free := make(completions, slots)
	results := new(Results)
	for now := 0.0; now < duration; now += r.ExpFloat64() * meanService / slots / load {
		for len(admitted) > 0 && admitted[0].at <= now {
			c := heap.Pop(&admitted).(completion)
			shedders[c.instance].Release(c.workspace)
		}
		workspace, class, group := drawRequest(r, load, results)
		group.Offered++
		instance := r.IntN(instances)
		if !shedders[instance].Admit(workspace, class) {
			group.Rejected++
			continue
		}
		start := max(now, free[0].at)
		end := start + r.ExpFloat64()*meanService
		free[0].at = end
		heap.Fix(&free, 0)
		heap.Push(&admitted, completion{end, instance, workspace})
		group.waits = append(group.waits, start-now)
		if start-now <= maxWait {
			group.InTime++
		}
	}
	return results
}

// drawRequest chooses the workspace, class and result group of the next request.
func drawRequest(r *rand.Rand, load float64, results *Results) (string, limit.Class, *Result) {
	if u := r.Float64() * load; u < smallWorkspaces*smallShare {
		return fmt.Sprintf("small-%d", int(u/smallShare)), limit.Interactive, &results.Small
	}
	if r.Float64() < batchShare {
		return "large", limit.Batch, &results.Batch
	}
	return "large", limit.Interactive, &results.Large
}

// WriteTable simulates 0.7, 1, 2 and 4 times the capacity, with and without
// shedding, and writes a table of the results.
func WriteTable(w io.Writer, seed uint64) error {
	fmt.Fprintf(w, "seed %d\n", seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "load\tshedder\tgoodput\tsmall in time\tsmall wait 95\tlarge in time\tlarge wait 95\tbatch rejected\tlarge rejected\tsmall rejected")
	for _, load := range []float64{0.7, 1, 2, 4} {
		for _, shed := range []bool{false, true} {
			r := Simulate(load, shed, seed)
			fmt.Fprintf(t, "%gx\t%v\t%.0f%%\t%.1f%%\t%.2f s\t%.1f%%\t%.2f s\t%.1f%%\t%.1f%%\t%.1f%%\n", load, shed, 100*r.Goodput(),
				percent(r.Small.InTime, &r.Small), r.Small.WaitP95(), percent(r.Large.InTime, &r.Large), r.Large.WaitP95(),
				percent(r.Batch.Rejected, &r.Batch), percent(r.Large.Rejected, &r.Large), percent(r.Small.Rejected, &r.Small))
		}
	}
	return t.Flush()
}

func percent(n int, r *Result) float64 { return 100 * float64(n) / float64(max(r.Offered, 1)) }
