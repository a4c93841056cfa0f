package capacity

import (
	"cmp"
	"math"
	"slices"
)

// Domain describes a service's servers in one failure domain.
type Domain struct {
	Name string
	// Price is the price of an ordinary server.
	Price float64
	// Reclaimable is the number of reclaimable servers that take requests.
	Reclaimable int
}

// Service is the input of Plan for one service.
type Service struct {
	Domains []Domain
	// Min and Max bound the total number of servers in each domain, ordinary
	// and reclaimable.
	Min, Max int
	// ReclaimablePrice is the price of a reclaimable server as a fraction of the
	// price of an ordinary server; 0 if there are no reclaimable servers.
	ReclaimablePrice float64
	// Need is the number of servers at which the current load gives the
	// intended utilization; see NextNeed.
	Need float64
}

// Order holds the numbers of ordinary and reclaimable servers that a domain should
// have. If Reclaimable is 0, no reclaimable servers are ordered, and those that run
// already are left as they are.
type Order struct {
	Domain                string
	Ordinary, Reclaimable int
}

// Load summarizes a service's streams over one usage window.
type Load struct {
	// Prompts counts the streams that began. Late counts those of them whose
	// first event missed the latency objective.
	Prompts, Late int
}

const (
	// minFraction is the initial and the lowest need, as a fraction of the
	// planned servers. It is below 1 because the number that the operator
	// planned carries the load without prefix cache hits; with them fewer
	// servers suffice.
	minFraction = 0.45
	// maxFraction is the highest need, as a fraction of the planned servers.
	maxFraction = 1.0
	// growThreshold is the fraction of late streams above which the need grows,
	// and shrinkThreshold the fraction below which it shrinks.
	growThreshold, shrinkThreshold = 0.1, 0.02
	// growFactor and shrinkFactor multiply the need in one step.
	growFactor, shrinkFactor = 1.25, 0.95
	// minPrompts is the smallest sample on which the need is changed.
	minPrompts = 20
)

// NextNeed returns the number of servers that a service needs. The argument need is
// the previous result, or 0 on the first call; l is the load measured since then;
// planned is the number of servers that the service had before the system changed
// it.
func NextNeed(need float64, planned int, l Load) float64 {
	lowest, highest := minFraction*float64(planned), maxFraction*float64(planned)
	if need == 0 {
		return lowest
	}
	if l.Prompts < minPrompts {
		return need
	}
	late := float64(l.Late) / float64(l.Prompts)
	switch {
	case late > growThreshold:
		need *= growFactor
	case late < shrinkThreshold:
		need *= shrinkFactor
	}
	return min(max(need, lowest), highest)
}

const (
	// reclaimableFactor is the number of reclaimable servers to order, as a
	// multiple of the need. The surplus shortens waits, and when the reclaimable
	// servers of one domain are taken away, those of the others replace them.
	reclaimableFactor = 3.0
	// maxPriceFraction is the highest ReclaimablePrice at which reclaimable
	// servers are worth ordering.
	maxPriceFraction = 0.5
	// lostDomains is the number of domains that may lose their reclaimable servers
	// before ordinary servers that are ordered then have started.
	lostDomains = 2
	// needPerOrdinary is the need for each ordinary server that reclaimable servers
	// never replace, up to one in each domain. Ordinary servers carry the load for
	// the seconds until others start if all reclaimable servers are taken away.
	needPerOrdinary = 4.0
)

// Plan returns the orders for a service, one per domain. Only the reclaimable
// servers that remain if the lostDomains domains with the most of them lose all count
// towards the need, because a domain can lose them at short notice and at a time when
// no replacements are available in the others. Ordinary servers cover the rest of the
// need. They are spread evenly, with the remainder of the division in the cheapest
// domains.
func Plan(s Service) []Order {
	n := len(s.Domains)
	if n == 0 {
		return nil
	}
	reclaimable := s.ReclaimablePrice > 0 && s.ReclaimablePrice <= maxPriceFraction
	total := max(1, min(n, int(math.Ceil(s.Need/needPerOrdinary))), int(math.Ceil(s.Need))-s.remainingReclaimable())
	byPrice := make([]int, n)
	for i := range byPrice {
		byPrice[i] = i
	}
	slices.SortStableFunc(byPrice, func(a, b int) int { return cmp.Compare(s.Domains[a].Price, s.Domains[b].Price) })
	orders := make([]Order, n)
	for rank, i := range byPrice {
		ordinary := total / n
		if rank < total%n {
			ordinary++
		}
		orders[i] = Order{Domain: s.Domains[i].Name, Ordinary: s.clamp(ordinary)}
		if reclaimable {
			// The reclaimable servers count towards Min.
			orders[i].Ordinary = min(ordinary, max(s.Max, s.Min))
			combined := s.clamp(orders[i].Ordinary + int(math.Ceil(reclaimableFactor*s.Need/float64(n))))
			orders[i].Reclaimable = combined - orders[i].Ordinary
		}
	}
	return orders
}

// remainingReclaimable returns the number of reclaimable servers that remain if
// the lostDomains domains with the most of them lose all.
func (s Service) remainingReclaimable() int {
	var counts []int
	for _, d := range s.Domains {
		counts = append(counts, d.Reclaimable)
	}
	slices.Sort(counts)
	remaining := 0
	for _, n := range counts[:max(0, len(counts)-lostDomains)] {
		remaining += n
	}
	return remaining
}

// clamp limits a number of servers in a domain to Min and Max. If Max is below
// Min, Min applies.
func (s Service) clamp(n int) int { return min(max(n, s.Min), max(s.Max, s.Min)) }
