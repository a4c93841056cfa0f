package move

import "time"

// oldAbsentAfter is the time without a server of the old version after which there is
// none to move from. Servers that crash together are back sooner, and a version that is
// not proved should not get their requests meanwhile.
const oldAbsentAfter = 10 * time.Second

// Presence tracks which versions of services have servers. The zero value is ready to
// use.
type Presence struct {
	// Start is when the caller began to discover servers, or zero if it knows all of
	// them at the first call of Observe.
	Start   time.Time
	oldSeen map[string]time.Time // when a server of the old version was last seen, by service
}

// Observe records whether a service has servers of each version now. It reports whether
// the new version has none, and whether the old one has had none for long enough that
// there is no version to move from.
func (p *Presence) Observe(service string, hasOld, hasNew bool, now time.Time) (newAbsent, oldAbsent bool) {
	if p.oldSeen == nil {
		p.oldSeen = make(map[string]time.Time)
	}
	if hasOld {
		p.oldSeen[service] = now
	}
	seen := p.oldSeen[service]
	if seen.Before(p.Start) {
		seen = p.Start
	}
	return !hasNew, now.Sub(seen) > oldAbsentAfter
}
