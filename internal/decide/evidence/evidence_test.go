package evidence

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func drawRecords(t *rapid.T, label string) (rs []Record) {
	for range rapid.IntRange(0, 12).Draw(t, label) {
		rs = append(rs, Record{
			Node:  rapid.SampledFrom([]string{"a/1", "a/2", "b/1", domainPrefix + "zlin"}).Draw(t, "node"),
			Key:   Key{Move: "m", Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"), Step: rapid.Uint8Range(1, 2).Draw(t, "step")},
			Count: Count{rapid.Uint64Range(0, 9).Draw(t, "answered"), rapid.Uint64Range(0, 9).Draw(t, "failed"), rapid.Uint64Range(0, 9).Draw(t, "slow")},
		})
	}
	return rs
}

func mergeAll(rss ...[]Record) map[rowKey]Count {
	var t Table
	for _, rs := range rss {
		t.Merge(rs)
	}
	return tableCounts(&t)
}

func tableCounts(t *Table) map[rowKey]Count {
	counts := make(map[rowKey]Count)
	rs, _ := t.Since(0, 0, nil)
	for _, r := range rs {
		counts[rowKey{r.Node, r.Key}] = r.Count
	}
	return counts
}

// Guards against a merge whose result depends on the order, grouping or number
// of deliveries, and against one that lowers a counter.
func TestMergeIsCommutativeAssociativeIdempotent(t *testing.T) {
	options := cmp.AllowUnexported(rowKey{})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecords(t, "a"), drawRecords(t, "b"), drawRecords(t, "c")
		want := mergeAll(a, b, c)
		for name, got := range map[string]map[rowKey]Count{
			"commutative": mergeAll(c, b, a), "idempotent": mergeAll(a, b, b, c, a),
		} {
			if diff := cmp.Diff(want, got, options); diff != "" {
				t.Fatalf("merge is not %s:\n%s", name, diff)
			}
		}
		var bc, all Table
		bc.Merge(b)
		bc.Merge(c)
		rs, _ := bc.Since(0, 0, nil)
		all.Merge(rs)
		all.Merge(a)
		if diff := cmp.Diff(want, tableCounts(&all), options); diff != "" {
			t.Fatalf("merge is not associative:\n%s", diff)
		}
		for rk, count := range mergeAll(a) {
			if got := want[rk]; got != got.max(count) {
				t.Fatalf("merge lowered %v from %v to %v", rk, count, got)
			}
		}
	})
}

// checkTotals adds to the counters of random nodes and lets random nodes exchange,
// and checks that no total ever exceeds the truth and that all reach it after all
// nodes have exchanged with all. domains are the failure domains of the nodes.
func checkTotals(t *rapid.T, nodes, domains []string, maxSteps int, exchange func(tables []Table, from, to int)) {
	tables := make([]Table, len(nodes))
	for i := range tables {
		tables[i].SetDomain(domains[i])
	}
	k := Key{Move: "m", Version: "v1"}
	total, last := uint64(0), len(nodes)-1
	for range rapid.IntRange(1, maxSteps).Draw(t, "steps") {
		from, to := rapid.IntRange(0, last).Draw(t, "from"), rapid.IntRange(0, last).Draw(t, "to")
		if from == to {
			tables[from].Add(nodes[from], k, Count{Answered: 1})
			total++
		} else {
			exchange(tables, from, to)
		}
		if got := tables[to].Totals("m")[k].Answered; got > total {
			t.Fatalf("total at %s is %d, want at most %d", nodes[to], got, total)
		}
	}
	for range 3 {
		for from := range nodes {
			for to := range nodes {
				if from != to {
					exchange(tables, from, to)
				}
			}
		}
	}
	for i := range tables {
		if got := tables[i].Totals("m")[k].Answered; got != total {
			t.Fatalf("total at %s after all exchanges is %d, want %d", nodes[i], got, total)
		}
	}
}

// Guards against sums over a failure domain that exceed the true total, lose
// counts or count a node twice, under exchanges in any order.
func TestDomainSumsMatchTotal(t *testing.T) {
	domains := []string{"brno", "brno", "zlin", "zlin"}
	rapid.Check(t, func(t *rapid.T) {
		checkTotals(t, []string{"a/1", "b/1", "c/1", "d/1"}, domains, 40, func(tables []Table, from, to int) {
			rs, _ := tables[from].Since(0, 0, nil)
			if domains[from] != domains[to] {
				rs, _ = tables[from].SinceDomain(0, 0)
			}
			tables[to].Merge(rs)
		})
	})
}

// Guards against instances that exchange through hubs and count a node twice,
// exceed the true total or never reach it, under exchanges in any order.
func TestTotalsThroughHubs(t *testing.T) {
	// Each failure domain has a hub, the first node, and two others.
	nodes := []string{"a/1", "b/1", "c/1", "d/1", "e/1", "f/1"}
	domains := []string{"brno", "brno", "brno", "zlin", "zlin", "zlin"}
	isHub := func(i int) bool { return i%3 == 0 }
	rapid.Check(t, func(t *rapid.T) {
		checkTotals(t, nodes, domains, 60, func(tables []Table, from, to int) {
			switch {
			case domains[from] != domains[to] && isHub(from) && isHub(to):
				rs, _ := tables[from].SinceDomain(0, 0)
				tables[to].Merge(rs)
			case domains[from] == domains[to] && (isHub(from) || isHub(to)):
				rs, _ := tables[from].Since(0, 0, func(node string) bool { return node == nodes[from] })
				if isHub(from) {
					totals, _ := tables[from].SinceTotal(0, 0)
					rs = append(rs, totals...)
				}
				tables[to].Merge(rs)
			}
		})
	})
}

// Guards against an exchange that skips a change or sends unchanged records again.
func TestSinceReturnsOnlyChanges(t *testing.T) {
	is := is.New(t)
	var a Table
	k := Key{Move: "m", Version: "v1"}
	a.Add("a/1", k, Count{Answered: 1})
	a.Add("b/1", k, Count{Answered: 1})
	rs, next := a.Since(0, 0, nil)
	is.Equal(len(rs), 2)
	a.Add("a/1", k, Count{Slow: 1})
	rs, next = a.Since(next, 0, nil)
	is.Equal(rs, []Record{{"a/1", k, Count{Answered: 1, Slow: 1}}})
	rs, _ = a.Since(next, 0, nil)
	is.Equal(len(rs), 0)
}

// Guards against changes that a receiver never gets because more of them are
// pending than fit into one exchange.
func TestLimitedChangesAllArrive(t *testing.T) {
	is := is.New(t)
	var from, to Table
	from.SetDomain("brno")
	to.SetDomain("zlin")
	for n := range 10 {
		k := Key{Move: "m", Version: fmt.Sprint(n)}
		from.Add("a/1", k, Count{Answered: 1})
		from.Add("b/1", k, Count{Answered: 2})
	}
	var sinceDomain, sinceTotal uint64
	for range 4 {
		var rs, totals []Record
		rs, sinceDomain = from.SinceDomain(sinceDomain, 3)
		totals, sinceTotal = from.SinceTotal(sinceTotal, 3)
		is.True(len(rs) <= 3 && len(totals) <= 3)
		to.Merge(rs)
		to.Merge(totals)
	}
	is.Equal(len(to.Totals("m")), 10)
	for k, c := range to.Totals("m") {
		is.Equal(c, Count{Answered: 3})
		is.Equal(to.sums["m"][k].domains, to.sums["m"][k].total)
	}
}

// Guards against memory that grows without bound with the number of ended moves,
// with client-chosen routes or with records from peers.
func TestTableSizeIsBounded(t *testing.T) {
	is := is.New(t)
	var a Table
	for i := range 1000 {
		a.Add("a/1", Key{Move: "m", Route: fmt.Sprint(i)}, Count{Answered: 1})
	}
	is.Equal(a.Len(), MaxRoutes+1)
	sum := uint64(0)
	for _, c := range a.Totals("m") {
		sum += c.Answered
	}
	is.Equal(sum, uint64(1000)) // routes beyond the limit are counted together
	rs, _ := a.Since(0, 0, nil)
	a.Forget("m")
	is.Equal(a.Len(), 0)
	is.Equal(a.Merge(rs), 0) // late records of an ended move are rejected
	is.Equal(a.Len(), 0)
	for i := range maxRows + 10 {
		a.Merge([]Record{{Node: fmt.Sprint(i), Key: Key{Move: "n"}, Count: Count{Answered: 1}}})
	}
	is.Equal(a.Len(), maxRows)
	is.Equal(a.Merge([]Record{{Node: string(make([]byte, maxNameBytes+1)), Key: Key{Move: "n"}, Count: Count{Answered: 1}}}), 0)
	var b Table
	for i := range 2 * maxForgotten {
		b.Forget(fmt.Sprint(i))
	}
	is.Equal(len(b.forgottenOrder), maxForgotten)
	is.Equal(len(b.forgotten), maxForgotten)
}

// BenchmarkMerge merges records of 360 nodes for four routes, three load levels
// and two versions at one step, with every counter changed in each round.
func BenchmarkMerge(b *testing.B) {
	var rs []Record
	for node := range 360 {
		for i := range 24 {
			k := Key{Move: "m", Version: fmt.Sprint(i % 2), Route: fmt.Sprint(i / 6), Load: uint8(i / 2 % 3), Step: 1}
			rs = append(rs, Record{Node: fmt.Sprintf("node-%d/1", node), Key: k})
		}
	}
	var t Table
	n := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		n++
		for i := range rs {
			rs[i].Count.Answered = n
		}
		if t.Merge(rs) != len(rs) {
			b.Fatal("some records did not change the table")
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(rs)), "ns/record")
}
