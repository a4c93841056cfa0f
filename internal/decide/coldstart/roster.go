package coldstart

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/decide/pacing"
)

// MaxRosterAge is the age of its list of instances up to which an instance sends to cold
// servers. A change in the list has no effect on the owners of a server before it is
// that old at the instance, so that no instance still uses the previous owners then.
const MaxRosterAge = 3 * time.Second

// Instance is an instance in the list of all instances.
type Instance = pacing.Instance

// Server is a backend server.
type Server struct{ ID, FailureDomain string }

// Owners are the instances that may send to a server while it is cold, from From on: the
// first one, and the second one while it believes that the first is not live. At any
// time there are no others, whatever the instances believe of each other.
type Owners struct {
	First, Second string
	From          time.Time
}

// Rosters holds the list of all instances, and those that it recently replaced. It is
// immutable; nil holds no list.
type Rosters struct {
	knownSince time.Time
	instances  []Instance // sorted by ID
	replaced   []roster   // the latest first
}

// roster is a former list of all instances.
type roster struct {
	instances []Instance
	until     time.Time
}

// Replace returns the rosters after the list was found at now to be instances. It
// returns r itself if that is the list already.
func (r *Rosters) Replace(instances []Instance, now time.Time) *Rosters {
	instances = slices.Clone(instances)
	slices.SortFunc(instances, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	if r == nil {
		return &Rosters{knownSince: now, instances: instances}
	}
	if slices.Equal(r.instances, instances) {
		return r
	}
	next := &Rosters{knownSince: r.knownSince, instances: instances, replaced: []roster{{r.instances, now}}}
	for _, former := range r.replaced {
		if now.Sub(former.until) < MaxRosterAge {
			next.replaced = append(next.replaced, former)
		}
	}
	return next
}

// Owners returns the owners of a server. The first one is the instance of the server's
// failure domain with the highest rendezvous hash, and the second one that of the other
// failure domains, so that the loss of a failure domain leaves one.
func (r *Rosters) Owners(s Server) Owners {
	if r == nil {
		return Owners{}
	}
	owners := ownersAmong(r.instances, s)
	owners.From = r.knownSince
	for _, former := range r.replaced {
		before := ownersAmong(former.instances, s)
		if before.First != owners.First || before.Second != owners.Second {
			owners.From = former.until
			break
		}
	}
	owners.From = owners.From.Add(MaxRosterAge)
	return owners
}

// ownersAmong returns the owners of a server among instances.
func ownersAmong(instances []Instance, s Server) (o Owners) {
	inside, outside := pacing.ByDomain(instances, s.FailureDomain)
	if len(inside) == 0 {
		inside, outside = outside, nil
	}
	// The prefix keeps the choice independent of those of other owners.
	key := xxhash.Sum64String("cold/" + s.ID)
	o.First = membership.Owner(key, inside)
	if len(outside) == 0 {
		outside = slices.DeleteFunc(inside, func(id string) bool { return id == o.First })
	}
	o.Second = membership.Owner(key, outside)
	return o
}
