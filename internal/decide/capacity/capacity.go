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

// Load is what a service is asked for by all instances together.
type Load struct {
	// Unread are the prompt tokens that servers have to read in a second, and
	// Speed the rate at which an idle one reads them.
	Unread, Speed float64
	// Concurrent is the number of requests that are at servers at a time.
	Concurrent float64
	// Slots is the number of requests that a server runs at once.
	Slots int
}

const (
	// busyReading is the part of its time that a server should spend on reading
	// prompts. Beyond it, prompts wait for each other.
	busyReading = 0.3
	// busySlots is the part of its slots that should be in use: more requests
	// make each token slower.
	busySlots = 0.35
)

// Need returns the number of servers that a load keeps as busy as they should
// be.
func Need(l Load) float64 {
	need := 0.0
	if l.Speed > 0 {
		need = l.Unread / l.Speed / busyReading
	}
	if l.Slots > 0 {
		need = max(need, l.Concurrent/float64(l.Slots)/busySlots)
	}
	return need
}

const (
	// cushion is the part of the need that reclaimable servers come on top of
	// it. They shorten waits, but may all be gone when one is.
	cushion = 0.0
	// worthwhile is the highest part of the price at which reclaimable servers
	// pay.
	worthwhile = 0.5
)

// Plan returns the orders for a service. Ordinary servers carry the need, the
// remainder in the cheapest domains. Reclaimable ones are taken away together,
// and none are to be had for a while after that, so they come on top.
func Plan(s Service) []Order {
	n := len(s.Domains)
	if n == 0 {
		return nil
	}
	total := int(math.Ceil(max(float64(n), s.Need)))
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
		if s.ReclaimablePrice > 0 && s.ReclaimablePrice <= worthwhile {
			both := s.bound(orders[i].Ordinary + int(math.Ceil(cushion*s.Need/float64(n))))
			orders[i].Reclaimable = both - orders[i].Ordinary
		}
	}
	return orders
}

func (s Service) bound(n int) int { return min(max(n, s.Min), max(s.Max, s.Min)) }
