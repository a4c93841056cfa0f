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
	// kept is how long a node's demand counts after it was measured, and Repeat
	// after what time it is sent again though it hardly changed.
	kept   = 10 * time.Second
	Repeat = 4 * time.Second
	// change is the part by which demand must change to be sent at once.
	change = 0.1
	// maxName bounds the names that peers send, in bytes.
	maxName = 256
)

// Use identifies a workspace on an entry.
type Use struct{ Entry, Workspace string }

// Demand is the use by one node, or the sum over a failure domain, whose name
// is as in package evidence.
type Demand struct {
	Node string
	Use
	// Rate is in units per second.
	Rate       float64
	Concurrent float64
	At         time.Time
}

// plus returns d with the demand of o added.
func (d Demand) plus(o Demand) Demand {
	d.Rate, d.Concurrent = d.Rate+o.Rate, d.Concurrent+o.Concurrent
	return d
}

type key struct {
	node string
	Use
}

// Config configures a Book. All fields are required.
type Config struct {
	Node, Domain string
	// DomainOf returns the failure domain of a node, and Live the number of live
	// nodes of a failure domain.
	DomainOf func(node string) string
	Live     func(domain string) int
	Now      func() time.Time
}

// Book holds the demand of all nodes. It is a source and a sink of the
// exchange; its methods are safe for concurrent use.
type Book struct {
	*exchange.Set[key, Demand]
	config Config
}

// New returns an empty book. It sends to the failure domain what this node
// measured, and to other failure domains the sum over its own, so that what
// crosses does not grow with the nodes.
func New(c Config) *Book {
	return &Book{config: c, Set: exchange.NewSet(exchange.SetConfig[key, Demand]{
		Key: func(d Demand) key { return key{d.Node, d.Use} },
		Join: func(have, offered Demand) (Demand, bool) {
			if offered.At.After(have.At) {
				return offered, true
			}
			return have, false
		},
		Deadline: func(d Demand) time.Time { return d.At.Add(kept) },
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
		Take: take,
		Now:  c.Now,
	})}
}

func take(d *peerpb.Digest) (vs []Demand) {
	for _, v := range d.GetDemands() {
		if v.GetNode() == "" || len(v.GetNode())+len(v.GetEntry())+len(v.GetWorkspace()) > maxName {
			continue
		}
		vs = append(vs, Demand{
			Node: v.GetNode(), Use: Use{v.GetEntry(), v.GetWorkspace()},
			Rate: float64(v.GetRequestsPerSecond()), Concurrent: float64(v.GetConcurrent()), At: time.Unix(0, v.GetAt()),
		})
	}
	return vs
}

// Publish makes demand known that changed notably or was last sent a while ago.
func (b *Book) Publish(d Demand) {
	have, ok := b.Get(key{d.Node, d.Use})
	if ok && d.At.Sub(have.At) < Repeat &&
		math.Abs(d.Rate-have.Rate) <= change*have.Rate && math.Abs(d.Concurrent-have.Concurrent) <= change*have.Concurrent {
		return
	}
	b.Put(d)
}

// PublishSums makes the sums over the failure domain known: what this node
// measured, and what the others of the domain did.
func (b *Book) PublishSums(own []Demand, others map[Use][]Demand, now time.Time) {
	sums := make(map[Use]Demand)
	for u, ds := range others {
		for _, d := range ds {
			if b.config.DomainOf(d.Node) == b.config.Domain {
				sums[u] = sums[u].plus(d)
			}
		}
	}
	for _, d := range own {
		sums[d.Use] = sums[d.Use].plus(d)
	}
	for u, sum := range sums {
		sum.Node, sum.Use, sum.At = evidence.DomainNode(b.config.Domain), u, now
		b.Publish(sum)
	}
}

// Others returns the demand of the other nodes. The sum over another failure
// domain is divided evenly among its live nodes, since limits are shared by
// node.
func (b *Book) Others() map[Use][]Demand {
	ds := make(map[Use][]Demand)
	for _, d := range b.Values() {
		domain, isSum := evidence.DomainOf(d.Node)
		switch {
		case d.Node == b.config.Node || isSum && domain == b.config.Domain:
			continue
		case !isSum:
			ds[d.Use] = append(ds[d.Use], d)
			continue
		}
		n := max(1, b.config.Live(domain))
		d.Rate, d.Concurrent = d.Rate/float64(n), d.Concurrent/float64(n)
		for range n {
			ds[d.Use] = append(ds[d.Use], d)
		}
	}
	return ds
}
