package evidence

import (
	"slices"
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

// LoadLevel returns the load level of a backend server from the number of its
// running and queued requests and its capacity. A capacity of 0 is unknown and
// gives LoadLight.
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
	// OtherRoute is the route under which a node counts the requests of all
	// routes beyond the first MaxRoutes of a move.
	OtherRoute = "other"
	// MaxRoutes is the number of routes that a node counts separately per move.
	MaxRoutes = 32
	// maxRows limits a table to about 16 MB, whatever records peers send.
	// Records for further rows are dropped, so every total stays a lower bound.
	maxRows = 1 << 16
	// maxNameBytes is the maximum length of each name in a peer's record.
	maxNameBytes = 256
	// maxForgotten is the number of ended moves whose late records are
	// rejected. It suffices because records arrive only seconds late and there
	// are a few hundred moves a day.
	maxForgotten = 1024
	// domainPrefix marks the node name of a row that is the sum over a failure
	// domain. Instance IDs contain no colon.
	domainPrefix = "domain:"
	// TotalNode is the node name of a row that is the sum over all nodes, as far
	// as the instance that computed it knew them.
	TotalNode = "total:"
)

// Key identifies a group of requests that a node counts together.
type Key struct {
	// Move is the ID of a move, Version the version to which the requests were
	// sent, and Route the kind of request, such as "chat" or the name of a
	// configured route.
	Move, Version, Route string
	// Load is the load level of the backend server: LoadLight, LoadHalf or
	// LoadFull.
	Load uint8
	// Step is the stage of the move (move.Decision.Step) at which the request's
	// version was chosen. Counting the stages separately allows versions to be
	// compared at the same traffic share. 0 is unknown.
	Step uint8
}

// Count holds the three counters for a key. Each counter only grows.
type Count struct {
	// Answered counts complete responses, Slow those of them that missed the
	// latency objective, and Failed all other outcomes.
	Answered, Failed, Slow uint64
}

// Record is one node's Count for one key.
type Record struct {
	// Node is the instance ID, a slash and the incarnation, the name returned by
	// DomainNode for a sum over a failure domain, or TotalNode.
	Node  string
	Key   Key
	Count Count
}

// Table holds the counters of all nodes. The zero value is ready to use. The
// methods are safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	domain  string
	changes uint64 // number of changes so far
	rows    map[rowKey]*row
	latest  *row // head of the list of rows, most recently changed first
	// sums holds the sums over the rows of each move.
	sums   map[string]map[Key]*sums
	routes map[nodeMove]map[string]bool
	// forgotten holds the ended moves, and forgottenOrder lists them, oldest
	// first.
	forgotten      map[string]bool
	forgottenOrder []string
}

type rowKey struct {
	node string
	key  Key
}

type nodeMove struct{ node, move string }

// sums are the sums over the rows of one key.
type sums struct {
	// nodes is the sum over the rows of nodes, and domains that over the rows of
	// failure domains.
	nodes, domains Count
	// total is the count of the row of TotalNode.
	total Count
}

// all returns the sum over all nodes. A node that is known from its own row or
// from the sum over its failure domain may be missing from the row of TotalNode,
// and the reverse.
func (s *sums) all() Count { return s.nodes.plus(s.domains).max(s.total) }

// add adds c, the change of a node's row.
func (s *sums) add(node string, c Count) {
	switch {
	case node == TotalNode:
		s.total = s.total.plus(c)
	case strings.HasPrefix(node, domainPrefix):
		s.domains = s.domains.plus(c)
	default:
		s.nodes = s.nodes.plus(c)
	}
}

// row is a node's Count for a key. Rows form a list in the order of their last
// change, so that Since visits only the rows that it returns.
type row struct {
	rowKey
	count          Count
	changed        uint64 // value of Table.changes after the row's last change
	newer, earlier *row
}

// DomainNode returns the node name under which sums over a failure domain are
// recorded.
func DomainNode(domain string) string { return domainPrefix + domain }

// DomainOf is the inverse of DomainNode. If node is not the name of a failure
// domain's sums, ok is false.
func DomainOf(node string) (domain string, ok bool) { return strings.CutPrefix(node, domainPrefix) }

// SetDomain sets the failure domain of the instance that uses the table. Sums over
// that domain are not merged, because its nodes are counted individually.
func (t *Table) SetDomain(domain string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.domain = domain
}

// Add adds c to the counters of node for k. Only the node itself may add to its
// counters, because a merge would lose additions that were made elsewhere.
func (t *Table) Add(node string, k Key, c Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isForgotten(k.Move) {
		return
	}
	k.Route = t.foldRoute(node, k)
	rk := rowKey{node, k}
	t.set(rk, t.rows[rk].value().plus(c))
}

// Merge merges records of other nodes, taking the larger value of each counter,
// and returns the number of records that changed the table.
func (t *Table) Merge(rs []Record) (changed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rs {
		if t.isForgotten(r.Key.Move) || t.isOwnDomainSum(r.Node) || r.oversized() {
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

// Since returns the records of the nodes that include accepts whose last change
// has a number above after, oldest change first, and the number to pass to the next
// call. Changes are numbered from 1. It returns at most limit records, or all if
// limit is 0. A nil include accepts all nodes.
func (t *Table) Since(after uint64, limit int, include func(node string) bool) (rs []Record, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed, next := t.changedSince(after, limit, func(r *row) bool { return include == nil || include(r.node) })
	for _, r := range changed {
		rs = append(rs, Record{Node: r.node, Key: r.key, Count: r.count})
	}
	return rs, next
}

// SinceDomain is like Since, but returns the sums over the nodes of this failure
// domain instead of the counters of the nodes.
func (t *Table) SinceDomain(after uint64, limit int) (rs []Record, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isNode := func(r *row) bool { return r.node != TotalNode && !strings.HasPrefix(r.node, domainPrefix) }
	return t.sumsSince(after, limit, DomainNode(t.domain), isNode, func(s *sums) Count { return s.nodes })
}

// SinceTotal is like Since, but returns the sums over all nodes.
func (t *Table) SinceTotal(after uint64, limit int) (rs []Record, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sumsSince(after, limit, TotalNode, func(*row) bool { return true }, (*sums).all)
}

// sumsSince returns the sums, recorded under a node name, of the keys of the rows
// that include accepts and that changed after a change.
func (t *Table) sumsSince(after uint64, limit int, node string, include func(*row) bool, sum func(*sums) Count) (rs []Record, next uint64) {
	seen := make(map[Key]bool)
	changed, next := t.changedSince(after, 0, include)
	for _, r := range changed {
		if seen[r.key] {
			continue
		}
		if limit > 0 && len(rs) == limit {
			return rs, r.changed - 1
		}
		seen[r.key] = true
		rs = append(rs, Record{Node: node, Key: r.key, Count: sum(t.sums[r.key.Move][r.key])})
	}
	return rs, next
}

// changedSince returns the rows that include accepts and that changed after a
// change, oldest change first, and the number of the change up to which it
// returns all of them. It returns at most limit rows, or all if limit is 0.
func (t *Table) changedSince(after uint64, limit int, include func(*row) bool) (rows []*row, next uint64) {
	for r := t.latest; r != nil && r.changed > after; r = r.earlier {
		if include(r) {
			rows = append(rows, r)
		}
	}
	slices.Reverse(rows)
	if limit > 0 && len(rows) > limit {
		return rows[:limit], rows[limit-1].changed
	}
	return rows, t.changes
}

// Totals returns the counters of move, summed over all nodes.
func (t *Table) Totals(move string) map[Key]Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := make(map[Key]Count, len(t.sums[move]))
	for k, s := range t.sums[move] {
		totals[k] = s.all()
	}
	return totals
}

// Forget drops the counters of a move that has ended. Records of the move that
// arrive later are rejected.
func (t *Table) Forget(move string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for rk, r := range t.rows {
		if rk.key.Move == move {
			t.unlink(r)
			delete(t.rows, rk)
		}
	}
	delete(t.sums, move)
	for nm := range t.routes {
		if nm.move == move {
			delete(t.routes, nm)
		}
	}
	if t.isForgotten(move) {
		return
	}
	if len(t.forgottenOrder) == maxForgotten {
		delete(t.forgotten, t.forgottenOrder[0])
		t.forgottenOrder = append(t.forgottenOrder[:0], t.forgottenOrder[1:]...)
	}
	if t.forgotten == nil {
		t.forgotten = make(map[string]bool)
	}
	t.forgotten[move] = true
	t.forgottenOrder = append(t.forgottenOrder, move)
}

// Len returns the number of rows.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

func (t *Table) isForgotten(move string) bool { return t.forgotten[move] }

func (t *Table) isOwnDomainSum(node string) bool {
	return t.domain != "" && node == DomainNode(t.domain)
}

// foldRoute returns the route under which node counts k: OtherRoute for a new
// route once node has MaxRoutes routes. This limits the rows that request paths
// chosen by clients can create. Only the node itself may fold its routes, because a
// merge takes the maximum of two folded counters, which is not their sum.
func (t *Table) foldRoute(node string, k Key) string {
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

// set stores c as the latest change. It returns false if the table is full.
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
		rk = rk.interned()
		r = &row{rowKey: rk}
		t.rows[rk] = r
	}
	t.changes++
	t.sumsOf(rk.key).add(rk.node, c.minus(r.count))
	r.count, r.changed = c, t.changes
	r.newer, r.earlier = nil, t.latest
	if t.latest != nil {
		t.latest.newer = r
	}
	t.latest = r
	return true
}

// sumsOf returns the sums of a key, which are created if needed.
func (t *Table) sumsOf(k Key) *sums {
	byKey := t.sums[k.Move]
	if byKey == nil {
		byKey = make(map[Key]*sums)
		if t.sums == nil {
			t.sums = make(map[string]map[Key]*sums)
		}
		t.sums[k.Move] = byKey
	}
	s := byKey[k]
	if s == nil {
		s = new(sums)
		byKey[k] = s
	}
	return s
}

// interned returns rk with its names shared between all rows. Every record that
// is decoded from the wire has its own copies.
func (rk rowKey) interned() rowKey {
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

// value returns the Count of r, or the zero Count if r is nil.
func (r *row) value() Count {
	if r == nil {
		return Count{}
	}
	return r.count
}

func (c Count) plus(d Count) Count {
	return Count{c.Answered + d.Answered, c.Failed + d.Failed, c.Slow + d.Slow}
}

// minus returns the growth from d to c. Counters only grow, so it is never negative.
func (c Count) minus(d Count) Count {
	return Count{c.Answered - d.Answered, c.Failed - d.Failed, c.Slow - d.Slow}
}

func (c Count) max(d Count) Count {
	return Count{max(c.Answered, d.Answered), max(c.Failed, d.Failed), max(c.Slow, d.Slow)}
}

func (r *Record) oversized() bool {
	return len(r.Node) > maxNameBytes || len(r.Key.Move) > maxNameBytes || len(r.Key.Version) > maxNameBytes || len(r.Key.Route) > maxNameBytes
}
