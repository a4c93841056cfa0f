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
	nodes = 9
	slots = 320
	// service is the mean time of a request in seconds.
	service = 2.0
	// objective is the wait in seconds after which a response is no use.
	objective = 1.2
	length    = 300.0
	// small workspaces each offer smallPart of the capacity; the large one
	// offers the rest, batchPart of it as batch.
	small     = 4
	smallPart = 0.04
	batchPart = 0.3
)

// Result is what a group of requests got.
type Result struct {
	Offered, Rejected, Good int
	waits                   []float64
}

// Wait95 returns the 95th percentile of the waits of admitted requests in
// seconds.
func (r *Result) Wait95() float64 {
	if len(r.waits) == 0 {
		return 0
	}
	slices.Sort(r.waits)
	return r.waits[len(r.waits)*95/100]
}

// Results are the results by group.
type Results struct{ Small, Large, Batch Result }

// Goodput returns the responses within the objective, relative to the capacity.
func (r *Results) Goodput() float64 {
	return float64(r.Small.Good+r.Large.Good+r.Batch.Good) / (slots / service * length)
}

// completion is a request in a slot.
type completion struct {
	at        float64
	node      int
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

// Simulate offers load times the capacity, with or without a Shedder on each
// node that knows its part of the capacity.
func Simulate(load float64, shed bool, seed uint64) *Results {
	r := rand.New(rand.NewPCG(seed, 3))
	var shedders [nodes]limit.Shedder
	if shed {
		for i := range shedders {
			shedders[i].SetCapacity(slots / float64(nodes))
		}
	}
	// admitted holds the requests that have not ended; free, the times at
	// which the slots are free. Requests start in the order of arrival.
	var admitted completions
	free := make(completions, slots)
	results := new(Results)
	for now := 0.0; now < length; now += r.ExpFloat64() * service / slots / load {
		for len(admitted) > 0 && admitted[0].at <= now {
			c := heap.Pop(&admitted).(completion)
			shedders[c.node].Release(c.workspace)
		}
		workspace, class, group := draw(r, load, results)
		group.Offered++
		node := r.IntN(nodes)
		if !shedders[node].Admit(workspace, class) {
			group.Rejected++
			continue
		}
		start := max(now, free[0].at)
		end := start + r.ExpFloat64()*service
		free[0].at = end
		heap.Fix(&free, 0)
		heap.Push(&admitted, completion{end, node, workspace})
		group.waits = append(group.waits, start-now)
		if start-now <= objective {
			group.Good++
		}
	}
	return results
}

func draw(r *rand.Rand, load float64, results *Results) (string, limit.Class, *Result) {
	if u := r.Float64() * load; u < small*smallPart {
		return fmt.Sprintf("small-%d", int(u/smallPart)), limit.Interactive, &results.Small
	}
	if r.Float64() < batchPart {
		return "large", limit.Batch, &results.Batch
	}
	return "large", limit.Interactive, &results.Large
}

// Table measures 1, 2 and 4 times the capacity and writes a table.
func Table(w io.Writer, seed uint64) error {
	fmt.Fprintf(w, "seed %d\n", seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "load\tshedder\tgoodput\tsmall in time\tsmall wait 95\tlarge in time\tlarge wait 95\tbatch rejected\tlarge rejected\tsmall rejected")
	for _, load := range []float64{0.7, 1, 2, 4} {
		for _, shed := range []bool{false, true} {
			r := Simulate(load, shed, seed)
			fmt.Fprintf(t, "%gx\t%v\t%.0f%%\t%.1f%%\t%.2f s\t%.1f%%\t%.2f s\t%.1f%%\t%.1f%%\t%.1f%%\n", load, shed, 100*r.Goodput(),
				part(r.Small.Good, &r.Small), r.Small.Wait95(), part(r.Large.Good, &r.Large), r.Large.Wait95(),
				part(r.Batch.Rejected, &r.Batch), part(r.Large.Rejected, &r.Large), part(r.Small.Rejected, &r.Small))
		}
	}
	return t.Flush()
}

func part(n int, r *Result) float64 { return 100 * float64(n) / float64(max(r.Offered, 1)) }
