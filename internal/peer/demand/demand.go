package demand

import (
	"math"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/exchange"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

const (
	// retention is how long the demand of a node is used after it was measured.
	retention = 10 * time.Second
	// RepublishPeriod is the time after which demand is published again even if
	// it hardly changed.
	RepublishPeriod = 4 * time.Second
	// minRelativeChange is the relative change above which demand is published
	// before RepublishPeriod has passed.
	minRelativeChange = 0.1
	// maxNameBytes limits the total length of the names in one demand from a peer.
	maxNameBytes = 256
)

// WorkspaceEntry identifies a workspace on an entry.
type WorkspaceEntry struct{ Entry, Workspace string }

// Demand is the request rate and concurrency of one workspace on one entry,
// measured by one node, or summed over a failure domain if Node was returned by
// evidence.DomainNode.
type Demand struct {
	Node string
	WorkspaceEntry
	// Rate is in units per second.
	Rate       float64
	Concurrent float64
	At         time.Time
}

// plus returns d with the demand of other added.
func (d Demand) plus(other Demand) Demand {
	d.Rate, d.Concurrent = d.Rate+other.Rate, d.Concurrent+other.Concurrent
	return d
}

type key struct {
	node string
	WorkspaceEntry
}

// Config configures a Table. All fields are required.
type Config struct {
	Node, Domain string
	// DomainOf returns the failure domain of a node, and Live the number of live
	// nodes in a failure domain.
	DomainOf func(node string) string
	Live     func(domain string) int
	Now      func() time.Time
}

// Table holds the demand of all nodes. It is a Source and a Sink of package
// exchange, and its methods are safe for concurrent use.
type Table struct {
	*exchange.Set[key, Demand]
	config Config
}

// New returns an empty book. The book sends the demand of this node to its
// failure domain, and the sum over its failure domain to the others, so that
// the traffic between failure domains does not grow with the number of nodes.
func New(c Config) *Table {
	return &Table{config: c, Set: exchange.NewSet(exchange.SetConfig[key, Demand]{
		Key: func(d Demand) key { return key{d.Node, d.WorkspaceEntry} },
		Join: func(current, offered Demand) (Demand, bool) {
			if offered.At.After(current.At) {
				return offered, true
			}
			return current, false
		},
		Deadline: func(d Demand) time.Time { return d.At.Add(retention) },
		Relay: func(to membership.Member, d Demand) bool {
			if to.FailureDomain == c.Domain {
				return d.Node == c.Node
			}
			return d.Node == evidence.DomainNode(c.Domain)
		},
		Add: func(d *peerpb.Digest, v Demand) {
			d.Demands = append(d.Demands, &peerpb.Demand{
				Node: v.Node, Entry: v.Entry, Workspace: v.Workspace,
				RequestsPerSecond: float32(v.Rate), Concurrent: uint32(v.Concurrent), At: v.At.UnixNano(),
			})
		},
		Extract: demandsFromDigest,
		Now:     c.Now,
	})}
}

func demandsFromDigest(d *peerpb.Digest) (vs []Demand) {
	for _, v := range d.GetDemands() {
		if v.GetNode() == "" || len(v.GetNode())+len(v.GetEntry())+len(v.GetWorkspace()) > maxNameBytes {
			continue
		}
		vs = append(vs, Demand{
			Node: v.GetNode(), WorkspaceEntry: WorkspaceEntry{v.GetEntry(), v.GetWorkspace()},
			Rate: float64(v.GetRequestsPerSecond()), Concurrent: float64(v.GetConcurrent()), At: time.Unix(0, v.GetAt()),
		})
	}
	return vs
}

// Publish sends d to the peers with the next exchanges if the demand changed by
// more than minRelativeChange or was last published at least RepublishPeriod ago.
func (b *Table) Publish(d Demand) {
	published, ok := b.Get(key{d.Node, d.WorkspaceEntry})
	if ok && d.At.Sub(published.At) < RepublishPeriod &&
		math.Abs(d.Rate-published.Rate) <= minRelativeChange*published.Rate && math.Abs(d.Concurrent-published.Concurrent) <= minRelativeChange*published.Concurrent {
		return
	}
	b.Put(d)
}

// PublishSums publishes, for each workspace on each entry, the sum over this
// failure domain: own, the demand of this node, plus that of the domain's nodes
// in others.
func (b *Table) PublishSums(own []Demand, others map[WorkspaceEntry][]Demand, now time.Time) {
	sums := make(map[WorkspaceEntry]Demand)
	for u, ds := range others {
		for _, d := range ds {
			if b.config.DomainOf(d.Node) == b.config.Domain {
				sums[u] = sums[u].plus(d)
			}
		}
	}
	for _, d := range own {
		sums[d.WorkspaceEntry] = sums[d.WorkspaceEntry].plus(d)
	}
	for u, sum := range sums {
		sum.Node, sum.WorkspaceEntry, sum.At = evidence.DomainNode(b.config.Domain), u, now
		b.Publish(sum)
	}
}

// Others returns the demand of the other nodes. The sum over another failure
// domain is returned as one equal Demand for each of its live nodes, since limits
// are divided among nodes.
func (b *Table) Others() map[WorkspaceEntry][]Demand {
	ds := make(map[WorkspaceEntry][]Demand)
	for _, d := range b.Values() {
		domain, isSum := evidence.DomainOf(d.Node)
		switch {
		case d.Node == b.config.Node || isSum && domain == b.config.Domain:
			continue
		case !isSum:
			ds[d.WorkspaceEntry] = append(ds[d.WorkspaceEntry], d)
			continue
		}
		n := max(1, b.config.Live(domain))
		d.Rate, d.Concurrent = d.Rate/float64(n), d.Concurrent/float64(n)
		for range n {
			ds[d.WorkspaceEntry] = append(ds[d.WorkspaceEntry], d)
		}
	}
	return ds
}
