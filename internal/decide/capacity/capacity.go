package capacity

import (
	"cmp"
	"math"
	"slices"
)

// Domain is what is known of a service's servers in one failure domain.
type Domain struct {
	Name string
	// Price is the price of an ordinary server.
	Price float64
	// Reclaimable is the number of reclaimable servers that take requests.
	Reclaimable int
}

// Service is what is known of a service.
type Service struct {
	Domains []Domain
	// Min and Max bound the servers of both kinds in a domain.
	Min, Max int
	// ReclaimablePrice is the part of the price at which a reclaimable server
	// costs; 0 if there are none.
	ReclaimablePrice float64
	// Need is the number of servers that the load keeps as busy as they should
	// be.
	Need float64
}

// Order is the number of servers that a domain should have.
type Order struct {
	Domain                string
	Ordinary, Reclaimable int
}

// Load is what was seen of a service's streams in a while.
type Load struct {
	// Prompts are the streams that began, and Late those of them whose first
	// event came after the objective.
	Prompts, Late int
}

const (
	// start is the part of the planned servers that is needed at first: what the
	// operator planned carries the load without the reuse of prompts.
	start = 0.45
	// most bounds the need, in parts of the planned servers.
	most = 1.0
	// lateAbove is the part of late streams above which more servers are needed,
	// and lateBelow the part below which fewer are.
	lateAbove, lateBelow = 0.1, 0.02
	// grow and shrink change the need.
	grow, shrink = 1.25, 0.95
	// fewPrompts are too few to tell.
	fewPrompts = 20
)

// Next returns the number of servers that a service needs after a load was
// seen with have; have is 0 at first.
func Next(have float64, planned int, l Load) float64 {
	least, highest := start*float64(planned), most*float64(planned)
	if have == 0 {
		return least
	}
	if l.Prompts < fewPrompts {
		return have
	}
	late := float64(l.Late) / float64(l.Prompts)
	switch {
	case late > lateAbove:
		have *= grow
	case late < lateBelow:
		have *= shrink
	}
	return min(max(have, least), highest)
}

const (
	// spare is the number of reclaimable servers to order, in parts of the need.
	// They shorten waits, and those of other domains stand in for one whose are
	// taken away.
	spare = 3.0
	// worthwhile is the highest part of the price at which reclaimable servers
	// pay.
	worthwhile = 0.5
	// kept is the number of ordinary servers in a domain that reclaimable ones
	// never replace: a domain whose reclaimable servers are taken away and that
	// is cut off from the others serves on with them.
	kept = 1
)

// Plan returns the orders for a service. Reclaimable servers carry the load as
// far as enough of them stay when one domain loses all of its own, as happens
// at short notice and at times when none are to be had elsewhere. Ordinary
// servers make up what is missing, the remainder in the cheapest domains.
func Plan(s Service) []Order {
	n := len(s.Domains)
	if n == 0 {
		return nil
	}
	reclaimable := s.ReclaimablePrice > 0 && s.ReclaimablePrice <= worthwhile
	total := max(n*kept, int(math.Ceil(s.Need))-s.staying())
	byPrice := make([]int, n)
	for i := range byPrice {
		byPrice[i] = i
	}
	slices.SortStableFunc(byPrice, func(a, b int) int { return cmp.Compare(s.Domains[a].Price, s.Domains[b].Price) })
	orders := make([]Order, n)
	for rank, i := range byPrice {
		each := total / n
		if rank < total%n {
			each++
		}
		orders[i] = Order{Domain: s.Domains[i].Name, Ordinary: s.bound(each)}
		if reclaimable {
			both := s.bound(orders[i].Ordinary + int(math.Ceil(spare*s.Need/float64(n))))
			orders[i].Reclaimable = both - orders[i].Ordinary
		}
	}
	return orders
}

// staying returns the number of reclaimable servers that are left when the
// domain with the most of them loses its own.
func (s Service) staying() int {
	sum, largest := 0, 0
	for _, d := range s.Domains {
		sum += d.Reclaimable
		largest = max(largest, d.Reclaimable)
	}
	return sum - largest
}

func (s Service) bound(n int) int { return min(max(n, s.Min), max(s.Max, s.Min)) }
