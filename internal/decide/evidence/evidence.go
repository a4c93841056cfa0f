package evidence

import "sync"

// Load levels of the backend server at the time of a request.
const (
	LoadLight uint8 = iota
	LoadHalf
	LoadFull
)

// Key identifies one counter of a move.
type Key struct {
	Move, Version, Route string
	Load                 uint8
}

// Count holds the outcomes of requests; each field only grows.
type Count struct {
	Answered, Failed, Slow uint64
}

// Record is one node's count for one key.
type Record struct {
	// Node is the instance ID, a slash and the incarnation.
	Node  string
	Key   Key
	Count Count
}

// Table holds the counters of all nodes. The zero value is ready, and the
// methods are safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowKey]row
}

type rowKey struct {
	node string
	key  Key
}

type row struct {
	count   Count
	changed uint64
}

// Add adds c to the count of node for k.
func (t *Table) Add(node string, k Key, c Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rk := rowKey{node, k}
	have := t.rows[rk].count
	t.set(rk, Count{have.Answered + c.Answered, have.Failed + c.Failed, have.Slow + c.Slow})
}

// Merge takes the larger value of each counter and returns the number of
// records that changed the table.
func (t *Table) Merge(rs []Record) (changed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rs {
		rk := rowKey{r.Node, r.Key}
		have := t.rows[rk].count
		merged := Count{
			Answered: max(have.Answered, r.Count.Answered),
			Failed:   max(have.Failed, r.Count.Failed),
			Slow:     max(have.Slow, r.Count.Slow),
		}
		if merged == have {
			continue
		}
		t.set(rk, merged)
		changed++
	}
	return changed
}

// Since returns the records that changed after version and the version to ask
// from next.
func (t *Table) Since(version uint64) (rs []Record, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for rk, r := range t.rows {
		if r.changed > version {
			rs = append(rs, Record{Node: rk.node, Key: rk.key, Count: r.count})
		}
	}
	return rs, t.version
}

// Totals returns the sums over all nodes of the counters of move.
func (t *Table) Totals(move string) map[Key]Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := make(map[Key]Count)
	for rk, r := range t.rows {
		if rk.key.Move != move {
			continue
		}
		sum := totals[rk.key]
		totals[rk.key] = Count{sum.Answered + r.count.Answered, sum.Failed + r.count.Failed, sum.Slow + r.count.Slow}
	}
	return totals
}

// Forget drops the counters of move.
func (t *Table) Forget(move string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for rk := range t.rows {
		if rk.key.Move == move {
			delete(t.rows, rk)
		}
	}
}

func (t *Table) set(rk rowKey, c Count) {
	if t.rows == nil {
		t.rows = make(map[rowKey]row)
	}
	t.version++
	t.rows[rk] = row{count: c, changed: t.version}
}
