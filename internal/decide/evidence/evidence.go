package evidence

import (
	"strings"
	"sync"
	"unique"
)

// Load levels of the backend server at the time of a request.
const (
	LoadLight uint8 = iota
	LoadHalf
	LoadFull
)

// LoadLevel returns the level of a backend server with a number of requests,
// running and queued, and a capacity; 0 is an unknown capacity.
func LoadLevel(requests, capacity int) uint8 {
	switch load := 4 * requests; {
	case capacity <= 0 || load < 2*capacity:
		return LoadLight
	case load < 3*capacity:
		return LoadHalf
	}
	return LoadFull
}

const (
	// OtherRoute counts the requests of a node's routes beyond MaxRoutes.
	OtherRoute = "other"
	// MaxRoutes is the number of routes that a node counts apart per move.
	MaxRoutes = 32
	// maxRows bounds the memory that peers can make a table use, to about
	// 16 MB. A record beyond it is dropped, which leaves every total a lower
	// bound.
	maxRows = 1 << 16
	// maxName bounds the length of the names in a record from a peer.
	maxName = 256
	// maxForgotten is the number of ended moves whose late records are
	// rejected. Records arrive seconds late, and a day has a few hundred
	// moves.
	maxForgotten = 1024
	// domainPrefix marks the node name of a row that is the sum over a failure
	// domain. Instance IDs contain no colon.
	domainPrefix = "domain:"
)

// Key identifies one counter of a move.
type Key struct {
	Move, Version, Route string
	Load                 uint8
	// Step is the Step of the decision by which the request's version was
	// chosen, so that versions are compared at one share; 0 is unknown.
	Step uint8
}

// Count holds the outcomes of requests; each field only grows.
type Count struct {
	// Answered counts complete responses and Slow those of them that missed
	// the objective; Failed counts the other outcomes.
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
	domain  string
	version uint64
	rows    map[rowKey]*row
	latest  *row // head of the list of rows, the last change first
	routes  map[nodeMove]map[string]bool
	// forgotten holds the ended moves; order lists them, the earliest first.
	forgotten map[string]bool
	order     []string
}

type rowKey struct {
	node string
	key  Key
}

type nodeMove struct{ node, move string }

// row is linked in the order of changes, so that Since visits only what it
// returns.
type row struct {
	rowKey
	count          Count
	changed        uint64
	newer, earlier *row
}

// DomainNode returns the node name of the sums over a failure domain.
func DomainNode(domain string) string { return domainPrefix + domain }

// DomainOf returns the failure domain whose sums a node name stands for.
func DomainOf(node string) (domain string, ok bool) { return strings.CutPrefix(node, domainPrefix) }

// SetDomain names the failure domain of the table's owner. Sums over that
// domain are not merged, as its nodes are counted one by one.
func (t *Table) SetDomain(domain string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.domain = domain
}

// Add adds c to the count of node for k. Only the owner of node's counters
// may call it.
func (t *Table) Add(node string, k Key, c Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rejects(k.Move) {
		return
	}
	k.Route = t.route(node, k)
	rk := rowKey{node, k}
	t.set(rk, t.rows[rk].value().plus(c))
}

// Merge takes the larger value of each counter and returns the number of
// records that changed the table.
func (t *Table) Merge(rs []Record) (changed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rs {
		if t.rejects(r.Key.Move) || t.ownSum(r.Node) || r.oversized() {
			continue
		}
		rk := rowKey{r.Node, r.Key}
		have := t.rows[rk].value()
		if merged := have.max(r.Count); merged != have && t.set(rk, merged) {
			changed++
		}
	}
	return changed
}

// Since returns the records that changed after version and the version to ask
// from next.
func (t *Table) Since(version uint64) (rs []Record, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := t.latest; r != nil && r.changed > version; r = r.earlier {
		rs = append(rs, Record{Node: r.node, Key: r.key, Count: r.count})
	}
	return rs, t.version
}

// SinceDomains is Since for a receiver in another failure domain: the counters
// of this failure domain's nodes are replaced by their sums.
func (t *Table) SinceDomains(version uint64) (rs []Record, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[Key]Count)
	for r := t.latest; r != nil && r.changed > version; r = r.earlier {
		if strings.HasPrefix(r.node, domainPrefix) {
			rs = append(rs, Record{Node: r.node, Key: r.key, Count: r.count})
		} else {
			sums[r.key] = Count{}
		}
	}
	if len(sums) == 0 {
		return rs, t.version
	}
	for r := t.latest; r != nil; r = r.earlier {
		if sum, ok := sums[r.key]; ok && !strings.HasPrefix(r.node, domainPrefix) {
			sums[r.key] = sum.plus(r.count)
		}
	}
	for k, c := range sums {
		rs = append(rs, Record{Node: DomainNode(t.domain), Key: k, Count: c})
	}
	return rs, t.version
}

// Totals returns the sums over all nodes of the counters of move.
func (t *Table) Totals(move string) map[Key]Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := make(map[Key]Count)
	for r := t.latest; r != nil; r = r.earlier {
		if r.key.Move == move {
			totals[r.key] = totals[r.key].plus(r.count)
		}
	}
	return totals
}

// Forget drops the counters of move, which has ended, and rejects those that
// peers still send.
func (t *Table) Forget(move string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for rk, r := range t.rows {
		if rk.key.Move == move {
			t.unlink(r)
			delete(t.rows, rk)
		}
	}
	for nm := range t.routes {
		if nm.move == move {
			delete(t.routes, nm)
		}
	}
	if t.rejects(move) {
		return
	}
	if len(t.order) == maxForgotten {
		delete(t.forgotten, t.order[0])
		t.order = append(t.order[:0], t.order[1:]...)
	}
	if t.forgotten == nil {
		t.forgotten = make(map[string]bool)
	}
	t.forgotten[move] = true
	t.order = append(t.order, move)
}

// Len returns the number of rows.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

func (t *Table) rejects(move string) bool { return t.forgotten[move] }

func (t *Table) ownSum(node string) bool {
	return t.domain != "" && node == DomainNode(t.domain)
}

// route returns the route under which node counts k. It bounds the rows that
// request paths chosen by clients can create. Only the owner of a counter may
// fold routes: the maximum of two folded counters is not their sum.
func (t *Table) route(node string, k Key) string {
	nm := nodeMove{node, k.Move}
	seen := t.routes[nm]
	if seen[k.Route] {
		return k.Route
	}
	if len(seen) >= MaxRoutes {
		return OtherRoute
	}
	if seen == nil {
		seen = make(map[string]bool)
		if t.routes == nil {
			t.routes = make(map[nodeMove]map[string]bool)
		}
		t.routes[nm] = seen
	}
	seen[k.Route] = true
	return k.Route
}

func (t *Table) set(rk rowKey, c Count) bool {
	r := t.rows[rk]
	switch {
	case r != nil:
		t.unlink(r)
	case len(t.rows) >= maxRows:
		return false
	default:
		if t.rows == nil {
			t.rows = make(map[rowKey]*row)
		}
		rk = rk.shared()
		r = &row{rowKey: rk}
		t.rows[rk] = r
	}
	t.version++
	r.count, r.changed = c, t.version
	r.newer, r.earlier = nil, t.latest
	if t.latest != nil {
		t.latest.newer = r
	}
	t.latest = r
	return true
}

// shared returns rk with one copy of each name for all rows; records decoded
// from the wire carry a copy each.
func (rk rowKey) shared() rowKey {
	for _, s := range []*string{&rk.node, &rk.key.Move, &rk.key.Version, &rk.key.Route} {
		*s = unique.Make(*s).Value()
	}
	return rk
}

func (t *Table) unlink(r *row) {
	if r.newer != nil {
		r.newer.earlier = r.earlier
	} else {
		t.latest = r.earlier
	}
	if r.earlier != nil {
		r.earlier.newer = r.newer
	}
}

func (r *row) value() Count {
	if r == nil {
		return Count{}
	}
	return r.count
}

func (c Count) plus(d Count) Count {
	return Count{c.Answered + d.Answered, c.Failed + d.Failed, c.Slow + d.Slow}
}

func (c Count) max(d Count) Count {
	return Count{max(c.Answered, d.Answered), max(c.Failed, d.Failed), max(c.Slow, d.Slow)}
}

func (r *Record) oversized() bool {
	return len(r.Node) > maxName || len(r.Key.Move) > maxName || len(r.Key.Version) > maxName || len(r.Key.Route) > maxName
}
